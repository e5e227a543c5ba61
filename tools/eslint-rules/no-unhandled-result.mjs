const RESULT_TYPES = new Set(['Result', 'ResultAsync', 'Ok', 'Err']);

/** Tells whether a type, or any part of a union, is one of neverthrow's. */
function isResultType(type) {
  const parts = type.isUnion() ? type.types : [type];
  return parts.some((part) => RESULT_TYPES.has((part.aliasSymbol ?? part.symbol)?.name));
}

/** Reports statements that drop a Result, whose error nobody would see. */
export const noUnhandledResult = {
  meta: {
    type: 'problem',
    docs: { description: 'Disallow statements that ignore a Result.' },
    messages: { unhandled: 'This Result is dropped; handle its error.' },
    schema: [],
  },
  create(context) {
    const { esTreeNodeToTSNodeMap, program } = context.sourceCode.parserServices;
    const checker = program.getTypeChecker();
    return {
      ExpressionStatement({ expression }) {
        const operand =
          expression.type === 'UnaryExpression' || expression.type === 'AwaitExpression'
            ? expression.argument
            : expression;
        const isAwaited = expression.type === 'AwaitExpression';
        const node = esTreeNodeToTSNodeMap.get(isAwaited ? expression : operand);
        if (isResultType(checker.getTypeAtLocation(node))) {
          context.report({ node: expression, messageId: 'unhandled' });
        }
      },
    };
  },
};
