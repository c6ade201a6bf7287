//! Plays one case of the review: `cases NAME RECORD`. Exits with 1 if the rule was broken, 0 if it held
//! and 2 if the case couldn't run. With TROUBLE=0 in the environment, the disruption is left out.

mod platform;
mod keys;
mod leave;
mod memory;
mod second_answer;
mod stop;

use std::io;
use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<_> = std::env::args().skip(1).collect();
    let [name, record] = &args[..] else { return ExitCode::from(2) };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |it| it != "0");
    let played = platform::open_record(record).and_then(|()| match name.as_str() {
        "leave" => leave::play(has_trouble),
        "second-answer" => second_answer::play(has_trouble),
        "stop" => stop::play(has_trouble),
        "keys" => keys::play(has_trouble),
        "memory" => memory::play(has_trouble),
        _ => Err(io::Error::other("unknown case")),
    });
    match played {
        Ok(is_broken) => {
            platform::note(if is_broken { "RULE BROKEN" } else { "the rule held" });
            println!("{name}: {}", if is_broken { "rule broken" } else { "rule held" });
            ExitCode::from(u8::from(is_broken))
        }
        Err(err) => {
            platform::note(&format!("the case couldn't run: {err}"));
            println!("{name}: couldn't run: {err}");
            ExitCode::from(2)
        }
    }
}
