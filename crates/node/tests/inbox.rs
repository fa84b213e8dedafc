//! The typed senders to the queue of the control thread.
#![allow(clippy::unwrap_used, missing_docs)]

use futures_util::FutureExt;
use sardinepath_node::entry::inbox::Inbox;
use sardinepath_node::entry::inbox::Unsent;

/// The messages of a control thread whose senders have two message types.
#[derive(Debug, PartialEq)]
enum Message {
    Number(u32),
    Text(&'static str),
}

impl From<u32> for Message {
    fn from(number: u32) -> Self {
        Self::Number(number)
    }
}

impl From<&'static str> for Message {
    fn from(text: &'static str) -> Self {
        Self::Text(text)
    }
}

/// Guards against messages of one sender that overtake each other because they are of different
/// types. The watch sends the configuration before it reports the contact.
#[test]
fn messages_of_two_types_keep_their_order() {
    let (sender, queue) = flume::bounded::<Message>(4);
    let numbers: Inbox<u32> = Inbox::new(&sender);
    let texts: Inbox<&str> = Inbox::new(&sender);

    numbers.send(1).unwrap();
    texts.try_send("two").unwrap();
    let sending = numbers.send_async(3).now_or_never();

    assert_eq!(sending, Some(Ok(())));
    let all: Vec<_> = queue.drain().collect();
    let expected = [Message::Number(1), Message::Text("two"), Message::Number(3)];
    assert_eq!(all, expected);
}

/// Guards against a traffic thread that is blocked by a full queue, and against a thread that keeps
/// running after the control thread has ended.
#[test]
fn full_and_closed_queues_are_reported() {
    let (sender, queue) = flume::bounded::<Message>(1);
    let numbers: Inbox<u32> = Inbox::new(&sender);

    let sent = [numbers.try_send(1), numbers.try_send(2)];
    let open = numbers.is_closed();
    drop(queue);

    assert_eq!(sent, [Ok(()), Err(Unsent)]);
    assert!(!open);
    assert_eq!(numbers.send(3), Err(Unsent));
    assert!(numbers.is_closed());
}
