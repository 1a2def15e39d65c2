use super::*;
use proptest::prelude::*;

proptest! {
    #[test]
    fn frames_are_decoded_regardless_of_how_the_stream_is_split(
        messages in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..64), 0..8),
        cuts in proptest::collection::vec(1usize..40, 1..20),
    ) {
        let stream: Vec<u8> = messages.iter().enumerate().flat_map(|(i, m)| encode(i as u64, m)).collect();
        let mut reader = FrameReader::new(64);
        let mut received = Vec::new();
        let (mut at, mut cut) = (0, cuts.iter().cycle());
        while at < stream.len() {
            let n = (*cut.next().unwrap()).min(stream.len() - at);
            received.extend(reader.feed(&stream[at..at + n]).unwrap());
            at += n;
        }
        prop_assert_eq!(received.len(), messages.len());
        for (i, (frame, message)) in received.iter().zip(&messages).enumerate() {
            prop_assert_eq!(frame.from, i as u64);
            prop_assert_eq!(&frame.message, message);
        }
    }

    #[test]
    fn frame_with_a_flipped_bit_is_never_returned(
        message in proptest::collection::vec(any::<u8>(), 1..64),
        bit in 0usize..512,
    ) {
        let mut bytes = encode(3, &message);
        let bit = bit % ((bytes.len() - 8) * 8);
        bytes[8 + bit / 8] ^= 1 << (bit % 8);
        let mut reader = FrameReader::new(64);
        // A flipped bit in the length makes the frame incomplete, too long, or fail its checksum.
        if let Ok(frames) = reader.feed(&bytes) {
            prop_assert!(frames.is_empty());
        }
    }
}

#[test]
fn frame_over_the_limit_is_rejected_before_its_message_arrives() {
    let mut reader = FrameReader::new(8);
    let bytes = encode(1, &[0; 9]);
    assert_eq!(reader.feed(&bytes[..HEADER_BYTES]), Err(FrameError::TooLong(9)));
}
