use super::*;

#[test]
fn reordering_keeps_every_message_intact() {
    let message_length: MessageLength = |bytes| bytes.first().map(|&n| usize::from(n) + 1);
    let messages: Vec<Vec<u8>> =
        (1..=40_u8).map(|n| [vec![n % 5 + 1], vec![n; usize::from(n % 5) + 1]].concat()).collect();
    let (stream, mut reorderer, mut out) = (messages.concat(), Reorderer::default(), Vec::new());
    stream.chunks(7).for_each(|chunk| out.extend(reorderer.forward(chunk, message_length)));
    out.extend(reorderer.take_held());
    let (mut got, mut at) = (Vec::new(), 0);
    while at < out.len() {
        let length = message_length(&out[at..]).unwrap();
        got.push(out[at..at + length].to_vec());
        at += length;
    }
    assert!(got.len() > messages.len() && got != messages, "no message was duplicated");
    assert!(got.windows(2).any(|w| w[0][1] > w[1][1]), "no message was reordered");
    assert!(messages.iter().all(|m| got.contains(m)));
}
