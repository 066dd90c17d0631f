//! Integration tests of the configuration crate.

mod directory;
mod files;
mod findings;
mod packs;
mod publication;
mod review;
mod routing;
