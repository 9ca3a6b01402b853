//! Readable forms of the API's answers.

use rampthread_node::api::{
    ChangeView, QuarantineView, ResourceView, RolloutView, StatusView, TenantView,
};

/// Prints rows in columns under `head`.
fn print_columns(head: &[&str], rows: &[Vec<String>]) {
    let mut widths: Vec<usize> = head.iter().map(|cell| cell.len()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.len());
        }
    }
    let print_row = |cells: &mut dyn Iterator<Item = &str>| {
        let line: Vec<String> = cells
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:<width$}"))
            .collect();
        println!("{}", line.join("  ").trim_end());
    };
    print_row(&mut head.iter().copied());
    for row in rows {
        print_row(&mut row.iter().map(String::as_str));
    }
}

/// What became of a change.
pub fn print_change(view: &ChangeView) {
    let version = view
        .version
        .map_or(String::new(), |version| format!(" version {version}"));
    let held = view
        .held_by
        .map_or(String::new(), |held| format!(", held by {held} nodes"));
    println!(
        "{}{version}{held} (operation {})",
        view.result, view.operation_id
    );
    for finding in view.findings.iter() {
        println!("  {finding}");
    }
    if let Some(seconds) = view.retry_after_seconds {
        println!("  come back in {seconds} s");
    }
}

/// Requests under which back ends have crashed, a line each.
pub fn print_quarantine(views: &[QuarantineView]) {
    let rows: Vec<Vec<String>> = views
        .iter()
        .map(|view| {
            let crashes = view.crashes.iter();
            let crashes: Vec<String> = crashes
                .map(|crash| format!("{} {} s ago", crash.instance, crash.age_ms / 1_000))
                .collect();
            let state = match view.left_ms {
                0 => "on trial".to_string(),
                left => format!("quarantined {} s more", left.div_ceil(1_000)),
            };
            vec![view.identity.to_string(), state, crashes.join(", ")]
        })
        .collect();
    print_columns(&["IDENTITY", "STATE", "CRASHES"], &rows);
}

/// Tenants with a limit, a line each.
pub fn print_tenants(views: &[TenantView]) {
    let rows: Vec<Vec<String>> = views
        .iter()
        .map(|view| {
            let news = match view.age_ms {
                Some(age) => format!("{age} ms"),
                None => "none".to_string(),
            };
            vec![
                view.name.to_string(),
                format!("{} + {}", view.rate, view.burst),
                format!("{:.1}", view.asked),
                format!("{:.1}", view.asked_here),
                format!("{:.1}", view.admitted),
                format!("{:.0}%", view.share_percent),
                format!("{:.1}%", view.limit_percent),
                view.refused_here.to_string(),
                news,
            ]
        })
        .collect();
    let head = [
        "TENANT", "LIMIT", "ASKED", "HERE", "ADMITTED", "SHARE", "OF LIMIT", "REFUSED", "NEWS",
    ];
    print_columns(&head, &rows);
}

/// Roll-outs, a line each.
pub fn print_rollouts(views: &[RolloutView]) {
    let rows: Vec<Vec<String>> = views
        .iter()
        .map(|view| {
            let decider = view.decider.as_ref();
            vec![
                view.service.to_string(),
                view.target.to_string(),
                view.phase.as_str().to_string(),
                format!("{:.1}%", f64::from(view.share_permille) / 10.0),
                format!(
                    "{} of {} s",
                    view.elapsed_ms / 1_000,
                    view.duration_ms / 1_000
                ),
                decider.map_or("-".to_string(), ToString::to_string),
                view.term.to_string(),
            ]
        })
        .collect();
    let head = [
        "SERVICE",
        "VERSION",
        "PHASE",
        "SHARE",
        "SINCE THE ORDER",
        "DECIDER",
        "TERM",
    ];
    print_columns(&head, &rows);
}

/// Resources, a line each.
pub fn print_resources(resources: &[ResourceView]) {
    let rows: Vec<Vec<String>> = resources
        .iter()
        .map(|view| {
            let text = |key: &str| view.content[key].as_str().unwrap_or_default().to_string();
            vec![
                text("kind"),
                text("name"),
                view.generation.to_string(),
                detail(view),
            ]
        })
        .collect();
    print_columns(&["KIND", "NAME", "GENERATION", "DETAIL"], &rows);
}

fn detail(view: &ResourceView) -> String {
    let content = &view.content;
    match content["kind"].as_str() {
        Some("route") => format!("{} -> {}", content["path"], content["destinations"]),
        Some("backend") => format!(
            "{} at {} beside {} ({}, {} slots)",
            content["service"],
            content["address"],
            content["node"],
            content["zone"],
            content["slots"]
        )
        .replace('"', ""),
        Some("secret") => format!("sealed with key {}", content["sealed_with"]).replace('"', ""),
        _ => String::new(),
    }
}

/// The fleet, as one node sees it.
pub fn print_status(status: &StatusView) {
    println!(
        "node {}: {}, version {} in force here",
        status.node,
        if status.ready { "ready" } else { "not ready" },
        status.version
    );
    if status.store_era > 0 {
        println!("the store is in era {}", status.store_era);
    }
    match &status.spread {
        Some(spread) if spread.in_force_everywhere => println!(
            "version {} is in force everywhere ({} nodes)",
            spread.version, spread.nodes
        ),
        Some(spread) => {
            println!(
                "version {} is held by {} of {} nodes",
                spread.version, spread.held_by, spread.nodes
            );
            for laggard in &spread.laggards {
                println!("  {} holds {}", laggard.id, laggard.held);
            }
        }
        None => println!("no reader answers: the spread is not known now"),
    }
    let rows: Vec<Vec<String>> = status
        .members
        .iter()
        .map(|member| {
            let conditions = member.conditions;
            let flags = [
                (conditions.ready, "ready"),
                (conditions.reader, "reader"),
                (conditions.draining, "draining"),
                (!conditions.backend_up, "backend-down"),
            ];
            let flags: Vec<&str> = flags
                .iter()
                .filter(|(set, _)| *set)
                .map(|(_, name)| *name)
                .collect();
            vec![
                member.id.to_string(),
                format!("{:?}", member.status).to_lowercase(),
                member.zone.to_string(),
                member.region.to_string(),
                member.address.to_string(),
                flags.join(","),
            ]
        })
        .collect();
    print_columns(
        &["NODE", "STATUS", "ZONE", "REGION", "ADDRESS", "CONDITIONS"],
        &rows,
    );
}
