//! Encoding of messages as length-prefixed postcard.

use std::io;

use bytes::Bytes;
use bytes::BytesMut;
use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use futures_util::StreamExt;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::AsyncWriteExt;
use tokio_util::codec::Encoder;
use tokio_util::codec::FramedRead;
use tokio_util::codec::LengthDelimitedCodec;

/// Maximum length of an encoded message, in bytes; request bodies are not messages.
pub const MAX_MESSAGE_BYTES: usize = 16 << 20;

/// Why a message could not be read or written.
#[derive(Debug, Display, Error, From)]
pub enum CodecError {
    /// The stream failed, or a message is longer than [`MAX_MESSAGE_BYTES`].
    #[display("the message stream failed: {_0}")]
    Io(io::Error),
    /// The bytes are not an encoding of the expected message type.
    #[display("the message is malformed: {_0}")]
    Encoding(postcard::Error),
}

fn frame_codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().little_endian().max_frame_length(MAX_MESSAGE_BYTES).new_codec()
}

/// Encodes a message with its length prefix.
///
/// # Errors
/// [`CodecError`] if the message is longer than [`MAX_MESSAGE_BYTES`] or cannot be encoded.
pub fn encode_message<T: Serialize>(message: &T) -> Result<Bytes, CodecError> {
    let mut framed = BytesMut::new();
    frame_codec().encode(Bytes::from(postcard::to_stdvec(message)?), &mut framed)?;
    Ok(framed.freeze())
}

/// Writes a message with its length prefix.
///
/// # Errors
/// [`CodecError`] if the message cannot be encoded or the stream fails.
pub async fn write_message<T, W>(writer: &mut W, message: &T) -> Result<(), CodecError>
where
    T: Serialize,
    W: AsyncWrite + Unpin,
{
    writer.write_all(&encode_message(message)?).await?;
    Ok(())
}

/// Reader of messages that buffers the bytes it has read beyond the last message.
#[derive(Debug)]
pub struct MessageReader<R> {
    framed: FramedRead<R, LengthDelimitedCodec>,
}

impl<R: AsyncRead + Unpin> MessageReader<R> {
    /// Creates a reader of the messages on `reader`.
    pub fn new(reader: R) -> Self {
        Self { framed: FramedRead::new(reader, frame_codec()) }
    }

    /// Returns the next message; `None` if the stream ended after the last one. No data is lost if
    /// the future is dropped.
    ///
    /// # Errors
    /// [`CodecError`] if the stream fails or ends within a message, or if the message is malformed.
    pub async fn next<T: DeserializeOwned>(&mut self) -> Result<Option<T>, CodecError> {
        match self.framed.next().await {
            Some(frame) => Ok(Some(postcard::from_bytes(&frame?)?)),
            None => Ok(None),
        }
    }

    /// Returns the stream and the bytes that were read beyond the last message.
    pub fn into_parts(self) -> (R, Bytes) {
        let parts = self.framed.into_parts();
        (parts.io, parts.read_buf.freeze())
    }
}
