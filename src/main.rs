//! The `guavacove` program.

#[path = "../platform/mod.rs"]
mod platform;

use std::process::ExitCode;

fn main() -> ExitCode {
    guavacove::arguments::run::<platform::Platform>()
}
