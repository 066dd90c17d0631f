//! Writes the team file of an emulated fleet.

use waxwingusher_core::KeyDigest;
use waxwingusher_standins::UpstreamServer;

use crate::fleet::SERVICE;
use crate::plan::{FleetPlan, WorkspacePlan};

/// Returns the text of the team file for the plan and the running instances.
pub(crate) fn write(plan: &FleetPlan, upstreams: &[UpstreamServer]) -> String {
    let floor = plan.floor_percent;
    let mut text = format!(
        "owner = \"emulator\"\n\n[service.{SERVICE}]\nfloor-percent = {floor}\ndetection = \"fast\"\n"
    );
    for (index, upstream) in upstreams.iter().enumerate() {
        let domain = &plan.failure_domains[index % plan.failure_domains.len()];
        text += &format!(
            "\n[service.{SERVICE}.instance.desk-{index}]\naddr = \"{}\"\nslots = {}\nfailure-domain = \"{domain}\"\n",
            upstream.addr(),
            plan.slots,
        );
    }
    text += &format!(
        "\n[route.desk]\nservice = \"{SERVICE}\"\npath-prefix = \"/desk\"\ndeadline-ms = 5000\n"
    );
    text += &format!(
        "\n[route.holidays]\nservice = \"{SERVICE}\"\npath-prefix = \"/holidays\"\nmethods = [\"GET\"]\naccess = \"open\"\nopen-rate-per-s = 50\nopen-burst = 20\n"
    );
    for workspace in &plan.workspaces {
        text += &workspace_table(workspace);
    }
    text
}

fn workspace_table(workspace: &WorkspacePlan) -> String {
    let keys = std::iter::once(&workspace.key).chain(&workspace.other_keys);
    let digests: Vec<String> = keys
        .filter(|key| !key.is_empty())
        .map(|key| format!("\"{}\"", KeyDigest::of_key(key.as_bytes())))
        .collect();
    let digests = digests.join(", ");
    format!(
        "\n[workspace.{}]\nkey-digests = [{digests}]\nrate-per-s = {}\nburst = {}\n",
        workspace.name, workspace.rate_per_s, workspace.burst
    )
}
