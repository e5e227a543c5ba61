import type { CheckedFile } from './checked-file';

/** Lists pairs of files, each pair once. */
function listPairs(files: readonly CheckedFile[]): [CheckedFile, CheckedFile][] {
  return files.flatMap((first, index) =>
    files.slice(index + 1).map((second): [CheckedFile, CheckedFile] => [first, second]),
  );
}

/** Describes what is wrong between the parts of limits of two dispatchers of one failure domain. */
function compareShares(first: CheckedFile, second: CheckedFile): string[] {
  if (first.share === undefined || second.share === undefined || first.domain !== second.domain) {
    return [];
  }
  const files = `${first.file}, ${second.file}: [dispatcher]`;
  if (first.share.count !== second.share.count) {
    return [`${files} count: must be the same in all dispatchers of ${first.domain}`];
  }
  return first.share.index === second.share.index
    ? [`${files} index: ${first.share.index} is used twice; the limits of both would add up`]
    : [];
}

/** Finds faults that no file shows by itself; one line each. */
export function compareFiles(files: readonly CheckedFile[]): string[] {
  return listPairs(files).flatMap(([first, second]) => [
    ...first.addresses
      .filter((address) => second.addresses.includes(address))
      .map((address) => `${first.file}, ${second.file}: both listen on ${address}`),
    ...compareShares(first, second),
  ]);
}
