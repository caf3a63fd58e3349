//! HTTP with hyper over async-io, on one thread's executor.

mod body;
mod client;
mod compression;
mod pool;
mod reply;
mod server;
mod stall_guard;
mod token;
mod traffic;

pub use body::BodyError;
pub use body::bytes;
pub use body::counted;
pub use body::read;
pub use body::read_counted;
pub use client::ClientError;
pub use client::Connection;
pub use client::connect;
pub use client::exchange;
pub use compression::LZ4;
pub use compression::accepts_lz4;
pub use compression::compress;
pub use compression::decompress;
pub use pool::Pool;
pub use reply::html;
pub use reply::json;
pub use reply::msgpack;
pub use reply::msgpack_compact;
pub use reply::refusal;
pub use reply::svg;
pub use reply::text;
pub use server::ServerLimits;
pub use server::Stop;
pub use server::serve;
pub use token::credential;
pub use token::has_token;
pub use traffic::Traffic;
