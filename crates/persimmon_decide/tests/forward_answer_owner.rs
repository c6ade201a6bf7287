//! Whose answer arrives on a connection whose endpoint sends answers a second time.

use persimmon_decide::forward::AnswerOwner;
use rstest::rstest;

/// Number of requests that are sent to the endpoint, one at a time.
const REQUESTS: usize = 5;

#[rstest]
#[case::own(Some("a"), AnswerOwner::Waiting, true)]
#[case::other(Some("b"), AnswerOwner::Other, false)]
#[case::longer(Some("ab"), AnswerOwner::Other, false)]
#[case::empty(Some(""), AnswerOwner::Other, false)]
#[case::unnamed(None, AnswerOwner::Unnamed, false)]
fn answer_belongs_to(
    #[case] answered: Option<&str>,
    #[case] owner: AnswerOwner,
    #[case] keeps_connection: bool,
) {
    let found = AnswerOwner::of(answered.map(str::as_bytes), b"a");
    assert_eq!((found, found.keeps_connection()), (owner, keeps_connection));
}

/// Plays all ways in which the answers may carry ids, with a copy of each answer before each later
/// one. Returns the number of copies that arrive, and the number of connections opened.
fn play(is_named: impl Fn(usize) -> bool) -> (usize, usize) {
    let id = |request: usize| [request as u8];
    // The requests whose answers the connection has brought.
    let mut answered: Vec<usize> = Vec::new();
    let (mut copies, mut opened) = (0, 1);
    for request in 0..REQUESTS {
        for earlier in &answered {
            copies += 1;
            let id_of_copy = is_named(*earlier).then(|| id(*earlier));
            let owner = AnswerOwner::of(id_of_copy.as_ref().map(|it| &it[..]), &id(request));
            assert_eq!(owner, AnswerOwner::Other, "copy of {earlier} before {request}");
        }
        let id_of_answer = is_named(request).then(|| id(request));
        let owner = AnswerOwner::of(id_of_answer.as_ref().map(|it| &it[..]), &id(request));
        match owner.keeps_connection() {
            true => answered.push(request),
            false => {
                answered.clear();
                opened += 1;
            }
        }
    }
    (copies, opened)
}

#[test]
fn copy_is_never_taken_for_an_answer() {
    let mut copies = 0;
    for named in 0..1_usize << REQUESTS {
        let (arrived, opened) = play(|request| named >> request & 1 == 1);
        let unnamed = REQUESTS - named.count_ones() as usize;
        assert_eq!(opened, 1 + unnamed, "only answers without an id end their connections");
        copies += arrived;
    }
    assert!(copies > 0);
}
