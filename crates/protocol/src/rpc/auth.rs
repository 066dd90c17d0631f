//! Authentication of RPC calls and answers with the fleet secret.
//!
//! The tag of a call covers the method, both hosts, a nonce and the argument. The
//! tag of the answer covers the same nonce, so that an old answer cannot be
//! replayed. Calls only read, so a replayed call reveals nothing that its first
//! answer did not, and hosts need no synchronised clocks.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Serialize};
use waxwingusher_core::HostId;

use super::{Method, RpcError};
use crate::secret::FleetSecret;

const CALL_TAG_CONTEXT: &[u8] = b"waxwingusher call";
const ANSWER_TAG_CONTEXT: &[u8] = b"waxwingusher answer";
const NONCE_BYTES: usize = 16;

/// The parameters of every method.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct Call {
    pub(super) from: HostId,
    pub(super) nonce: String,
    pub(super) argument: String,
    tag: String,
}

/// The result of every method.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct Answer {
    content: String,
    tag: String,
}

impl Call {
    pub(super) fn new(
        secret: &FleetSecret,
        method: Method,
        from: &HostId,
        to: &HostId,
        argument: &str,
    ) -> Result<Self, RpcError> {
        let mut nonce = [0; NONCE_BYTES];
        getrandom::fill(&mut nonce).map_err(|_| RpcError::NoRandomness)?;
        let mut call = Self {
            from: from.clone(),
            nonce: STANDARD.encode(nonce),
            argument: argument.to_owned(),
            tag: String::new(),
        };
        call.tag = STANDARD.encode(secret.tag(&call.tag_parts(method, to)));
        Ok(call)
    }

    pub(super) fn is_authentic(&self, secret: &FleetSecret, method: Method, to: &HostId) -> bool {
        let Ok(tag) = STANDARD.decode(&self.tag) else {
            return false;
        };
        secret.is_valid_tag(&self.tag_parts(method, to), &tag)
    }

    fn tag_parts<'a>(&'a self, method: Method, to: &'a HostId) -> [&'a [u8]; 6] {
        [
            CALL_TAG_CONTEXT,
            method.name().as_bytes(),
            self.from.as_str().as_bytes(),
            to.as_str().as_bytes(),
            self.nonce.as_bytes(),
            self.argument.as_bytes(),
        ]
    }
}

impl Answer {
    pub(super) fn new(secret: &FleetSecret, method: Method, nonce: &str, content: &[u8]) -> Self {
        let tag = secret.tag(&answer_tag_parts(method, nonce, content));
        Self {
            content: STANDARD.encode(content),
            tag: STANDARD.encode(tag),
        }
    }

    /// Returns the content if the tag matches.
    pub(super) fn verified_content(
        &self,
        secret: &FleetSecret,
        method: Method,
        nonce: &str,
    ) -> Result<Vec<u8>, RpcError> {
        let content = STANDARD.decode(&self.content);
        let content = content.map_err(|_| RpcError::Malformed)?;
        let tag = STANDARD.decode(&self.tag);
        let tag = tag.map_err(|_| RpcError::Malformed)?;
        if !secret.is_valid_tag(&answer_tag_parts(method, nonce, &content), &tag) {
            return Err(RpcError::Unauthenticated);
        }
        Ok(content)
    }
}

fn answer_tag_parts<'a>(method: Method, nonce: &'a str, content: &'a [u8]) -> [&'a [u8]; 4] {
    [
        ANSWER_TAG_CONTEXT,
        method.name().as_bytes(),
        nonce.as_bytes(),
        content,
    ]
}
