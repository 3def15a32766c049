//! The program that the simulator starts. It reads frames from standard input and writes replies to standard output.

use std::io::{self, BufReader, BufWriter};
use std::process::ExitCode;

const INPUT_BUFFER_BYTES: usize = 1 << 16;

fn main() -> ExitCode {
    let input = BufReader::with_capacity(INPUT_BUFFER_BYTES, io::stdin().lock());
    let output = BufWriter::new(io::stdout().lock());
    match ironstair_simulator_adapter::serve(input, output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("ironstair-simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
