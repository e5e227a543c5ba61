/** Counts the names that a top-level statement exports. */
function countExports(statement) {
  if (statement.type === 'ExportDefaultDeclaration' || statement.type === 'ExportAllDeclaration') {
    return 1;
  }
  if (statement.type !== 'ExportNamedDeclaration') {
    return 0;
  }
  const { declaration } = statement;
  if (declaration === null) {
    return statement.specifiers.length;
  }
  return declaration.type === 'VariableDeclaration' ? declaration.declarations.length : 1;
}

/** Reports source files that export more than one name. */
export const oneExport = {
  meta: {
    type: 'suggestion',
    docs: { description: 'Allow at most one export a file.' },
    messages: { tooMany: 'This file exports {{count}} names; move each to a file of its own.' },
    schema: [],
  },
  create(context) {
    return {
      Program(program) {
        const count = program.body.reduce((sum, statement) => sum + countExports(statement), 0);
        if (count > 1) {
          context.report({ node: program, messageId: 'tooMany', data: { count: String(count) } });
        }
      },
    };
  },
};
