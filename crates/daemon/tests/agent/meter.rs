//! Tests of the token counts of answers.

use eelgrasswell_core::unit::Tokens;
use eelgrasswell_daemon::agent::meter::TokenMeter;
use test_case::test_case;

const STREAM: &str = concat!(
    "data: {\"choices\":[{\"delta\":{\"role\":\"assistant\"}}]}\n\n",
    "data: {\"choices\":[{\"delta\":{\"content\":\"one \"}}],\"usage\":null}\n\n",
    "data: {\"choices\":[{\"delta\":{\"content\":\"\\\"usage\\\":{\\\"completion_tokens\\\":900}\"}}]}\n\n",
    "data: {\"choices\":[{\"delta\":{\"content\":\"\"}}]}\n\n",
);
const END: &str =
    "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":7,\"total_tokens\":10}}\n\n";
const DONE: &str = "data: [DONE]\n\n";

/// Input and output tokens reported by the engine, number of delivered tokens, and whether the answer is complete.
type Counts = (Option<(u64, u64)>, u64, bool);

fn count(stream: bool, chunks: &[&[u8]]) -> Counts {
    let mut meter = TokenMeter::new(stream);
    chunks.iter().for_each(|chunk| meter.feed(chunk));
    let Tokens(delivered) = meter.delivered();
    (meter.usage().map(|usage| (usage.input, usage.output)), delivered, meter.is_complete())
}

/// Guards against counts that depend on how the network splits an answer, against text of the answer that is mistaken
/// for the engine's report, and against a truncated answer that is mistaken for a complete one.
#[test_case(true, &[STREAM, END, DONE], (Some((3, 7)), 7, true) ; "complete stream")]
#[test_case(true, &[STREAM], (None, 2, false) ; "truncated stream")]
#[test_case(true, &[STREAM, DONE], (None, 2, true) ; "stream without report")]
#[test_case(false, &["{\"choices\":[{\"message\":{\"content\":\"\\\"usage\\\":{}\"}}],\"usage\": {\"prompt_tokens\":3,\
    \"details\":{},\"completion_tokens\":7}, \"model\":\"m\"}"], (Some((3, 7)), 7, true) ; "complete answer")]
#[test_case(false, &["{\"choices\":[]}"], (None, 0, false) ; "answer without report")]
fn meter_split_anywhere_counts_the_same(stream: bool, parts: &[&str], expected: Counts) {
    let body = parts.concat();
    let body = body.as_bytes();
    assert_eq!(count(stream, &[body]), expected);
    let bytes: Vec<&[u8]> = body.chunks(1).collect();
    assert_eq!(count(stream, &bytes), expected);
    for at in 0..body.len() {
        assert_eq!(count(stream, &[&body[..at], &body[at..]]), expected, "split at {at}");
    }
}
