//! HTTP by hyper over async-io, on one thread's executor.

mod body;
mod client;
mod paced;
mod pool;
mod reply;
mod server;
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
pub use pool::Pool;
pub use reply::html;
pub use reply::json;
pub use reply::packed;
pub use reply::packed_short;
pub use reply::refusal;
pub use reply::svg;
pub use reply::text;
pub use server::ServerLimits;
pub use server::Stop;
pub use server::serve;
pub use token::credential;
pub use token::shows_token;
pub use traffic::Traffic;
