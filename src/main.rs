//! The `guavacove` program.

use std::process::ExitCode;

fn main() -> ExitCode {
    guavacove::arguments::run()
}
