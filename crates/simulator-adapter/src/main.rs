use std::io::{self, BufReader, BufWriter};
use std::process::ExitCode;

fn main() -> ExitCode {
    let (from, to) = (io::stdin().lock(), io::stdout().lock());
    match ironstair_simulator_adapter::serve(
        BufReader::with_capacity(1 << 16, from),
        BufWriter::new(to),
    ) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("ironstair-simulator-adapter: {e}");
            ExitCode::FAILURE
        }
    }
}
