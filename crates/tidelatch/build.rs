//! Generates Rust code from `proto/peer.proto`; `protox` compiles it, so that `protoc` need not be installed.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!("cargo:rerun-if-changed=proto/peer.proto");
    let files = protox::compile(["proto/peer.proto"], ["proto"])?;
    tonic_prost_build::configure()
        .build_transport(false)
        .compile_fds(files)?;
    Ok(())
}
