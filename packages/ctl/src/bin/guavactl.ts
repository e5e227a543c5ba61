import { buildCli } from '../build-cli';

buildCli()
  .runExit(process.argv.slice(2))
  .catch(() => process.exit(1));
