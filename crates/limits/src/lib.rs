//! Rights of workspaces: keys, rates and bursts that hold over the whole fleet,
//! and fair shares of a loaded host.
