//! Claims on requests that may run at most once.

use sageshed_state::{claim_table, command};
use sageshed_types::{claims, endpoints, time};

const RETENTION: u64 = 1_000;
const DIGEST: u64 = 7;

fn limits() -> claim_table::Limits {
    claim_table::Limits {
        claims: 3,
        answer_bytes: 4,
        all_answer_bytes: 6,
        released: 2,
    }
}

fn table() -> claim_table::ClaimTable {
    claim_table::ClaimTable::new(limits())
}

fn key(key: &str) -> claims::ClaimKey {
    claims::ClaimKey {
        caller: "clearflow".to_owned(),
        key: key.to_owned(),
    }
}

fn holder(vm: &str, incarnation: u64, request_id: &str) -> claims::Holder {
    claims::Holder {
        vm: vm.to_owned(),
        incarnation: endpoints::Incarnation(incarnation),
        request_id: request_id.to_owned(),
    }
}

fn first() -> claims::Holder {
    holder("vm1", 5, "r1")
}

fn second() -> claims::Holder {
    holder("vm2", 5, "r2")
}

fn claim_of(on: &str, holder: claims::Holder, digest: u64) -> claims::Claim {
    claims::Claim {
        key: key(on),
        holder,
        digest,
        retention: time::Millis(RETENTION),
    }
}

fn claim(
    table: &mut claim_table::ClaimTable,
    on: &str,
    holder: claims::Holder,
) -> claim_table::ClaimAttempt {
    table.claim(claim_of(on, holder, DIGEST))
}

fn settle(
    table: &mut claim_table::ClaimTable,
    on: &str,
    holder: claims::Holder,
    end: claims::ExecutionOutcome,
) -> command::SettleOutcome {
    table.settle(claims::Settle {
        key: key(on),
        holder,
        end,
    })
}

fn ran(body: &[u8]) -> claims::ExecutionOutcome {
    claims::ExecutionOutcome::Ran {
        answer: Some(answer(body)),
    }
}

fn answer(body: &[u8]) -> claims::RecordedAnswer {
    claims::RecordedAnswer {
        status: 200,
        content_type: "text/plain".to_owned(),
        body: body.to_vec(),
    }
}

fn granted() -> claim_table::ClaimAttempt {
    claim_table::ClaimAttempt::Reply(claims::ClaimOutcome::Granted)
}

fn ran_with(answer: Option<claims::RecordedAnswer>) -> claim_table::ClaimAttempt {
    claim_table::ClaimAttempt::Reply(claims::ClaimOutcome::Ran { answer })
}

fn running(holder: claims::Holder) -> claim_table::ClaimAttempt {
    claim_table::ClaimAttempt::Reply(claims::ClaimOutcome::Running { holder })
}

// Guards against refusing a holder's repeated claim. If the reply that grants the claim is lost, the
// entry process claims again. A refusal would make it refuse a request that nobody runs.
#[test]
fn a_repeated_claim_of_the_same_holder_is_granted() {
    let mut table = table();
    assert_eq!(claim(&mut table, "k", first()), granted());
    assert_eq!(claim(&mut table, "k", first()), granted());
    assert_eq!(table.len(), 1);
    let others = [holder("vm1", 6, "r1"), holder("vm1", 5, "r2"), second()];
    for other in others {
        assert_eq!(claim(&mut table, "k", other), running(first()));
    }
}

#[test]
fn the_same_key_with_other_content_is_rejected_in_every_state() {
    let other = claim_table::ClaimAttempt::Reply(claims::ClaimOutcome::OtherContent);
    let ends = [
        None,
        Some(ran(b"x")),
        Some(claims::ExecutionOutcome::Unknown),
    ];
    for end in ends {
        let mut table = table();
        claim(&mut table, "k", first());
        if let Some(end) = end {
            settle(&mut table, "k", first(), end);
        }
        assert_eq!(table.claim(claim_of("k", second(), DIGEST + 1)), other);
        assert_eq!(table.claim(claim_of("k", first(), DIGEST + 1)), other);
    }
}

// Guards against granting a claim that is committed late. The proposal is delayed at a partitioned
// leader, and meanwhile the entry process abandons it or ends. Nobody would settle the claim, and each
// retry of the caller would be told that the request is running.
#[test]
fn a_claim_committed_after_its_holder_gave_up_is_not_granted() {
    let mut table = table();
    settle(&mut table, "k", first(), claims::ExecutionOutcome::NotRun);
    assert_eq!(
        claim(&mut table, "k", first()),
        claim_table::ClaimAttempt::TooLate
    );
    table.holder_gone("vm2", endpoints::Incarnation(6));
    assert_eq!(
        claim(&mut table, "k", second()),
        claim_table::ClaimAttempt::TooLate
    );
    assert!(table.is_empty());
    assert_eq!(claim(&mut table, "k", holder("vm2", 6, "r2")), granted());
}

#[test]
fn released_holders_are_recorded_up_to_the_limit() {
    let mut table = table();
    for request_id in ["a", "b", "c"] {
        settle(
            &mut table,
            "k",
            holder("vm1", 5, request_id),
            claims::ExecutionOutcome::NotRun,
        );
    }
    let late = claim_table::ClaimAttempt::TooLate;
    assert_eq!(claim(&mut table, "k", holder("vm1", 5, "b")), late);
    assert_eq!(claim(&mut table, "k", holder("vm1", 5, "c")), late);
    assert_eq!(claim(&mut table, "k", holder("vm1", 5, "a")), granted());
}

// Guards against evicting claims from a full table, which would let the evicted claim's request run
// again.
#[test]
fn a_full_table_refuses_new_claims_and_evicts_none() {
    let mut table = table();
    for on in ["a", "b", "c"] {
        assert_eq!(claim(&mut table, on, first()), granted());
    }
    let full = claim_table::ClaimAttempt::Reply(claims::ClaimOutcome::Full);
    assert_eq!(claim(&mut table, "d", second()), full);
    assert_eq!(claim(&mut table, "a", second()), running(first()));
    settle(&mut table, "a", first(), ran(b"x"));
    assert_eq!(claim(&mut table, "d", second()), full);
    table.advance_clock(10);
    table.advance_clock(10 + RETENTION);
    assert_eq!(claim(&mut table, "d", second()), granted());
}

#[test]
fn the_total_size_of_responses_is_bounded_and_freed_on_expiry() {
    let mut table = table();
    for on in ["a", "b"] {
        claim(&mut table, on, first());
        settle(&mut table, on, first(), ran(b"1234"));
    }
    assert_eq!(
        claim(&mut table, "a", second()),
        ran_with(Some(answer(b"1234")))
    );
    assert_eq!(claim(&mut table, "b", second()), ran_with(None));
    table.advance_clock(1);
    assert_eq!(table.advance_clock(1 + RETENTION), 2);
    claim(&mut table, "c", first());
    settle(&mut table, "c", first(), ran(b"5678"));
    assert_eq!(
        claim(&mut table, "c", second()),
        ran_with(Some(answer(b"5678")))
    );
}
