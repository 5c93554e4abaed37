//! Compiles the schema with protox, without protoc, into Rust types and a descriptor set for the text format.
use prost::Message;
use std::{env, error::Error, fs, path::PathBuf};

fn main() -> Result<(), Box<dyn Error>> {
    println!("cargo:rerun-if-changed=proto/settings.proto");
    let set = protox::compile(["proto/settings.proto"], ["proto"])?;
    let out = PathBuf::from(env::var("OUT_DIR")?);
    fs::write(out.join("settings.bin"), set.encode_to_vec())?;
    prost_build::Config::new().compile_fds(set)?;
    Ok(())
}
