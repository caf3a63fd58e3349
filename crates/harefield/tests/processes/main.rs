//! Failure tests against real daemon processes. The platform and the upstreams are simulated
//! by stand-ins on threads of the test process.

mod accounts;
mod administration;
mod bad_input;
mod configuration;
mod crashing;
mod crashing_support;
mod forwarding;
mod hot_requests;
mod leaving;
mod not_run;
mod once;
mod overload;
mod own_answer;
mod planned_stop;
mod silent_connections;
mod site;
mod site_accounts;
mod site_cells;
mod site_cold;
mod site_drill;
mod site_editions;
mod site_evacuation;
mod site_foreign;
mod site_homes;
mod site_outage;
mod site_regions;
mod site_store;
mod site_support;
mod site_versions;
mod slow_peers;
mod snapshot;
mod support;
mod time_line;
mod true_coverage;
mod wait_queue;
