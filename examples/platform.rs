//! Runs the stand-in for the platform: `cargo run --example platform -- ADDRESS`.

use std::net::SocketAddr;
use std::sync::Arc;

use bramleymount::store::{MemoryPlatform, serve_standin};
use eyre::{WrapErr, eyre};

fn main() -> eyre::Result<()> {
    let address: SocketAddr = std::env::args()
        .nth(1)
        .ok_or_else(|| eyre!("missing address to listen on, such as 127.0.0.1:7000"))?
        .parse()
        .wrap_err("the address must be IP:PORT")?;
    let server = serve_standin(address, Arc::new(MemoryPlatform::default()))?;
    println!("platform stand-in on {}", server.address());
    loop {
        std::thread::park();
    }
}
