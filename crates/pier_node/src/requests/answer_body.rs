//! Reads the whole body of a target's answer.

use pier_request::attempts;

use crate::requests;

/// Greatest size of an answer that is buffered.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// The body of an answer whose head has been read.
#[derive(Debug)]
pub(super) struct AnswerBody {
    answer: reqwest::Response,
    framing: attempts::BodyFraming,
}

impl AnswerBody {
    /// Creates the body of an answer.
    pub(super) fn new(answer: reqwest::Response) -> Self {
        let headers = answer.headers();
        let encodings = headers.get_all(reqwest::header::TRANSFER_ENCODING);
        let last = encodings.iter().next_back();
        let last = last.and_then(|value| value.to_str().ok());
        Self {
            framing: attempts::BodyFraming::of(answer.content_length(), last),
            answer,
        }
    }

    /// Reads the body of the answer to a call to its end.
    ///
    /// # Errors
    ///
    /// Fails when the body is over [`MAX_ANSWER_BYTES`], or not known to be whole.
    pub(super) async fn read(
        mut self,
        call: &requests::AttemptCall,
    ) -> anyhow::Result<bytes::Bytes> {
        let mut body = bytes::BytesMut::new();
        while let Some(chunk) = self.answer.chunk().await? {
            anyhow::ensure!(
                body.len() + chunk.len() <= MAX_ANSWER_BYTES,
                "the answer is larger than {MAX_ANSWER_BYTES} bytes"
            );
            body.extend_from_slice(&chunk);
        }
        match self.end(call).await.fault() {
            None => Ok(body.freeze()),
            Some(reason) => Err(anyhow::anyhow!(reason)),
        }
    }

    /// Judges the end of the body.
    async fn end(&self, call: &requests::AttemptCall) -> attempts::BodyEnd {
        let mut evidence = attempts::EndEvidence {
            framing: self.framing,
            // Targets of this interface mark no answers.
            is_genuine: true,
            content: attempts::ContentEnd::Opaque,
            // The body is read without pauses.
            was_unread: false,
            life: attempts::LifeSign::Silent,
        };
        if evidence.needs_life_sign() {
            evidence.life = call.life_sign().await;
        }
        attempts::BodyEnd::judge(evidence)
    }
}
