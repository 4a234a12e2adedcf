//! Turns the peers' protocol file into Rust, without a `protoc` on the machine.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!("cargo:rerun-if-changed=proto/peer.proto");
    let files = protox::compile(["proto/peer.proto"], ["proto"])?;
    tonic_prost_build::configure()
        .build_transport(false)
        .compile_fds(files)?;
    Ok(())
}
