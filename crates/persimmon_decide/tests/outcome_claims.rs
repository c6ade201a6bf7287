//! Claims, their authentication, and the ledger that checks them.

use persimmon_decide::outcome::{
    Answer, Begin, Claim, ClaimError, ClaimSealer, IdempotencyKey, Ledger, LedgerError, LedgerKey,
    LedgerLimits, PresentedCall, Refusal, Repeatability, Settled, Stamp, check_unclaimed_call,
};
use persimmon_decide::{Fingerprint, Incarnation, MonoMs, RequestId};
use persimmon_records::EndpointBuilder;
use rstest::rstest;

const INCARNATION: Incarnation = Incarnation(7);
const CLAIM_TTL_MS: u64 = 1_000;

fn claim(key: &str) -> Claim {
    Claim {
        workspace: "swap-desk".into(),
        service: "booking".into(),
        key: IdempotencyKey::try_from(key.to_owned()).unwrap(),
        owner: "booking-1".into(),
        stamp: Stamp { incarnation: INCARNATION, issued_at: MonoMs(0) },
        call_id: RequestId(42),
    }
}

fn ledger(max_entries: usize) -> Ledger {
    let limits = LedgerLimits::default()
        .with_max_entries(max_entries)
        .with_max_answer_bytes(8)
        .with_claim_ttl_ms(CLAIM_TTL_MS)
        .with_request_ttl_ms(300);
    Ledger::new(INCARNATION, limits)
}

fn answer(bytes: usize) -> Answer {
    Answer { status: 200, body: vec![b'a'; bytes].into() }
}

fn call(key: &str) -> PresentedCall {
    claim(key).present(b"body")
}

#[test]
fn seal_and_open() {
    let sealer = ClaimSealer::new("a fleet key of the operators");
    let text = sealer.seal(&claim("week-11")).unwrap();
    assert_eq!(sealer.open(&text), Ok(claim("week-11")));
    assert_eq!(ClaimSealer::new("another fleet key").open(&text), Err(ClaimError::Forged));
    assert!(!format!("{sealer:?}").contains("key"), "the debug output must not contain the key");
}

#[rstest]
#[case::empty("", ClaimError::Malformed)]
#[case::no_seal("pc1.7b7d", ClaimError::Malformed)]
#[case::odd_digits("pc1.7b7.00", ClaimError::Malformed)]
#[case::not_ascii("pc1.ééé.00", ClaimError::Malformed)]
#[case::too_long(&"p".repeat(ClaimSealer::MAX_CHARS + 1), ClaimError::TooLong)]
fn open_malformed(#[case] text: &str, #[case] expected: ClaimError) {
    assert_eq!(ClaimSealer::new("a fleet key of the operators").open(text), Err(expected));
}

#[test]
fn open_tampered() {
    let sealer = ClaimSealer::new("a fleet key of the operators");
    let text = sealer.seal(&claim("week-11")).unwrap();
    for position in 4..text.len() {
        let mut bytes = text.clone().into_bytes();
        bytes[position] = if bytes[position] == b'0' { b'1' } else { b'0' };
        let tampered = String::from_utf8(bytes).unwrap();
        assert!(sealer.open(&tampered).is_err(), "position {position}");
    }
}

#[rstest]
#[case::own("swap-desk", "booking", Ok(()))]
#[case::other_workspace("registry-desk", "booking", Err(Refusal::BadClaim))]
#[case::other_service("swap-desk", "registry", Err(Refusal::BadClaim))]
fn check_use(
    #[case] workspace: &str,
    #[case] service: &str,
    #[case] expected: Result<(), Refusal>,
) {
    assert_eq!(claim("week-11").check_use(&workspace.into(), &service.into()), expected);
}

#[test]
fn ledger_key_of_parts() {
    let key = IdempotencyKey::try_from("k".to_owned()).unwrap();
    let one = LedgerKey::of_call(&"ab".into(), &"c".into(), &key);
    assert_ne!(one, LedgerKey::of_call(&"a".into(), &"bc".into(), &key));
}

#[rstest]
#[case::repeatable(true, Ok(()))]
#[case::not_repeatable(false, Err(Refusal::NeedsClaim))]
fn unclaimed_call(#[case] repeatable: bool, #[case] expected: Result<(), Refusal>) {
    let address = "127.0.0.1:7000".parse().unwrap();
    let endpoint = EndpointBuilder::new("booking-1", address).with_repeatable(repeatable).build();
    assert_eq!(check_unclaimed_call(&endpoint), expected);
}

/// The history of a call before it is presented again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallHistory {
    Nothing,
    Begun,
    Finished(usize),
    Failed,
    Withdrawn,
    Settled,
}

fn ledger_after(history: CallHistory) -> Ledger {
    let mut ledger = ledger(4);
    let (call, now) = (call("week-11"), MonoMs(10));
    match history {
        CallHistory::Nothing => return ledger,
        CallHistory::Settled => {
            let settled = ledger.settle(call.key, call.stamp, call.repeatability, now);
            assert_eq!(settled, Settled::NotRun);
            return ledger;
        }
        _ => assert_eq!(ledger.begin(&call, now), Begin::Run),
    }
    match history {
        CallHistory::Finished(bytes) => ledger.finish(call.key, Some(answer(bytes)), now).unwrap(),
        CallHistory::Failed => ledger.fail(call.key, now).unwrap(),
        CallHistory::Withdrawn => ledger.withdraw(call.key, now).unwrap(),
        CallHistory::Nothing | CallHistory::Begun | CallHistory::Settled => {}
    }
    ledger
}

#[rstest]
#[case::begun(CallHistory::Begun, Begin::Attach, Settled::Started)]
#[case::finished(CallHistory::Finished(8), Begin::Repeat(answer(8)), Settled::Done)]
#[case::not_kept(CallHistory::Finished(9), Begin::Refuse(Refusal::AnswerNotKept), Settled::Done)]
#[case::failed(CallHistory::Failed, Begin::Refuse(Refusal::EarlierRunUnknown), Settled::Unknown)]
#[case::withdrawn(CallHistory::Withdrawn, Begin::Refuse(Refusal::Tombstoned), Settled::NotRun)]
#[case::settled(CallHistory::Settled, Begin::Refuse(Refusal::Tombstoned), Settled::NotRun)]
#[case::nothing(CallHistory::Nothing, Begin::Run, Settled::Started)]
fn begin_and_settle_by_call_history(
    #[case] history: CallHistory,
    #[case] begin: Begin,
    #[case] settled: Settled,
) {
    let mut ledger = ledger_after(history);
    let call = call("week-11");
    assert_eq!(ledger.begin(&call, MonoMs(20)), begin);
    assert_eq!(ledger.settle(call.key, call.stamp, call.repeatability, MonoMs(21)), settled);
    // The same call with another body is refused and never runs.
    let other = PresentedCall { fingerprint: Fingerprint::of(b"other"), ..call };
    let tombstoned = begin == Begin::Refuse(Refusal::Tombstoned);
    let expected = if tombstoned { Refusal::Tombstoned } else { Refusal::BodyMismatch };
    assert_eq!(ledger.begin(&other, MonoMs(22)), Begin::Refuse(expected));
}

#[rstest]
#[case::in_time(INCARNATION, 0, CLAIM_TTL_MS, Begin::Run, Settled::NotRun)]
#[case::expired(INCARNATION, 0, 1_001, Begin::Refuse(Refusal::ExpiredClaim), Settled::Unknown)]
#[case::earlier_incarnation(
    Incarnation(6),
    0,
    1,
    Begin::Refuse(Refusal::WrongIncarnation),
    Settled::Unknown
)]
#[case::from_the_future(
    INCARNATION,
    9,
    1,
    Begin::Refuse(Refusal::WrongIncarnation),
    Settled::Unknown
)]
fn present_stamp(
    #[case] incarnation: Incarnation,
    #[case] issued_at: u64,
    #[case] now: u64,
    #[case] begin: Begin,
    #[case] settled: Settled,
) {
    let stamp = Stamp { incarnation, issued_at: MonoMs(issued_at) };
    let call = PresentedCall { stamp, ..call("week-11") };
    assert_eq!(ledger(4).begin(&call, MonoMs(now)), begin);
    assert_eq!(ledger(4).settle(call.key, stamp, call.repeatability, MonoMs(now)), settled);
}

#[test]
fn begin_when_full() {
    let mut ledger = ledger(1);
    assert_eq!(ledger.begin(&call("week-11"), MonoMs(1)), Begin::Run);
    ledger.finish(call("week-11").key, Some(answer(1)), MonoMs(2)).unwrap();
    assert_eq!(ledger.begin(&call("week-12"), MonoMs(3)), Begin::Refuse(Refusal::LedgerFull));
    assert_eq!(ledger.issue(call("week-13").key, MonoMs(3)), Err(Refusal::LedgerFull));
    // The first call still has its entry, which is evicted once all its claims have expired.
    assert_eq!(ledger.begin(&call("week-11"), MonoMs(4)), Begin::Repeat(answer(1)));
    let later = MonoMs(CLAIM_TTL_MS + 3);
    let stamp = ledger.issue(call("week-12").key, later).unwrap();
    assert_eq!(ledger.begin(&PresentedCall { stamp, ..call("week-12") }, later), Begin::Run);
}

#[test]
fn begin_after_refusal_when_full() {
    let mut ledger = ledger(1);
    assert_eq!(ledger.begin(&call("week-11"), MonoMs(1)), Begin::Run);
    ledger.finish(call("week-11").key, None, MonoMs(2)).unwrap();
    let stamp = ledger.stamp(MonoMs(900));
    let late = PresentedCall { stamp, ..call("week-12") };
    assert_eq!(ledger.begin(&late, MonoMs(903)), Begin::Refuse(Refusal::LedgerFull));
    // There is room again and the claim hasn't expired, but the refusal stated that the call
    // didn't run.
    assert_eq!(ledger.sweep(MonoMs(1_003)), 1);
    assert_eq!(ledger.begin(&late, MonoMs(1_004)), Begin::Refuse(Refusal::Tombstoned));
    let stamp = ledger.stamp(MonoMs(1_005));
    assert_eq!(ledger.begin(&PresentedCall { stamp, ..late }, MonoMs(1_005)), Begin::Run);
}

#[test]
fn begin_evicted_after_refusal_when_full() {
    let mut ledger = ledger(1);
    assert_eq!(ledger.begin(&call("week-11"), MonoMs(1)), Begin::Run);
    ledger.finish(call("week-11").key, None, MonoMs(2)).unwrap();
    assert_eq!(ledger.begin(&call("week-12"), MonoMs(3)), Begin::Refuse(Refusal::LedgerFull));
    assert_eq!(ledger.sweep(MonoMs(1_003)), 1);
    // The call ran, so unlike calls that never began it must not be refused as not run.
    let again = ledger.begin(&call("week-11"), MonoMs(1_003));
    assert_eq!(again, Begin::Refuse(Refusal::ExpiredClaim));
}

#[test]
fn present_expired_claim_after_tombstone_of_later_claim() {
    let mut ledger = ledger_after(CallHistory::Finished(1));
    let first = call("week-11");
    assert_eq!(ledger.sweep(MonoMs(CLAIM_TTL_MS + 11)), 1);
    let stamp = ledger.issue(first.key, MonoMs(CLAIM_TTL_MS + 11)).unwrap();
    let second = PresentedCall { stamp, ..first };
    let now = MonoMs(CLAIM_TTL_MS + 12);
    assert_eq!(ledger.settle(second.key, stamp, second.repeatability, now), Settled::NotRun);
    // The tombstone belongs to the second claim; the call with the first one ran.
    assert_eq!(ledger.begin(&first, now), Begin::Refuse(Refusal::ExpiredClaim));
    let settled = ledger.settle(first.key, first.stamp, first.repeatability, now);
    assert_eq!(settled, Settled::Unknown);
}

#[test]
fn issue_extends_retention() {
    let mut ledger = ledger_after(CallHistory::Finished(1));
    let stamp = ledger.issue(call("week-11").key, MonoMs(1_005)).unwrap();
    assert_eq!(ledger.sweep(MonoMs(1_500)), 0, "the second claim can still be presented");
    let again = PresentedCall { stamp, ..call("week-11") };
    assert_eq!(ledger.begin(&again, MonoMs(1_500)), Begin::Repeat(answer(1)));
    assert_eq!(ledger.sweep(MonoMs(2_006)), 1);
    assert_eq!(ledger.counts().answer_bytes, 0);
}

#[test]
fn begin_repeatable_runs_again_with_newer_stamp() {
    let mut ledger = ledger(4);
    let at = |ledger: &Ledger, ms| PresentedCall {
        stamp: ledger.stamp(MonoMs(ms)),
        repeatability: Repeatability::Repeatable,
        ..call("lookup")
    };
    let first = at(&ledger, 0);
    assert_eq!(ledger.begin(&first, MonoMs(1)), Begin::Run);
    ledger.withdraw(first.key, MonoMs(2)).unwrap();
    assert_eq!(ledger.begin(&first, MonoMs(3)), Begin::Refuse(Refusal::Tombstoned));
    let second = at(&ledger, 3);
    assert_eq!(ledger.begin(&second, MonoMs(4)), Begin::Run);
    ledger.fail(second.key, MonoMs(5)).unwrap();
    let third = at(&ledger, 6);
    assert_eq!(ledger.begin(&third, MonoMs(6)), Begin::Run);
    ledger.withdraw(third.key, MonoMs(7)).unwrap();
    // The second run may have happened, so the outcome remains unknown.
    let settled = ledger.settle(second.key, second.stamp, second.repeatability, MonoMs(8));
    assert_eq!(settled, Settled::Unknown);
    assert_eq!(ledger.finish(third.key, None, MonoMs(9)), Err(LedgerError));
}
