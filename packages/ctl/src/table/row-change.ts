/** How a row of a file differs from the same row of the present table. */
export type RowChange =
  | { readonly type: 'only-in-file'; readonly rowId: string }
  | { readonly type: 'only-in-table'; readonly rowId: string }
  | { readonly type: 'changed'; readonly rowId: string; readonly cells: readonly string[] };
