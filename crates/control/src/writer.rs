use agreement::{GroupId, Write};
use journal::Journal;
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};
use tokio::task::{self, JoinHandle};

use crate::codec;
use crate::host::{Event, Inbox};

/// A write of one group.
#[derive(Debug)]
pub(crate) struct WriteJob {
    pub(crate) group: GroupId,
    pub(crate) host: Inbox,
    pub(crate) write: Write,
}

/// Task that owns the journal; it ends when every sender of jobs is gone.
#[derive(Debug)]
pub(crate) struct Writer {
    pub(crate) jobs: UnboundedSender<WriteJob>,
    pub(crate) task: JoinHandle<()>,
}

impl Writer {
    pub(crate) fn spawn(journal: Journal) -> Self {
        let (jobs, waiting) = mpsc::unbounded_channel();
        Self {
            jobs,
            task: tokio::spawn(run(journal, waiting)),
        }
    }
}

async fn run(mut journal: Journal, mut waiting: UnboundedReceiver<WriteJob>) {
    while let Some(first) = waiting.recv().await {
        let mut jobs = vec![first];
        while let Ok(job) = waiting.try_recv() {
            jobs.push(job);
        }
        let written = task::spawn_blocking(move || {
            let result = write(&mut journal, &jobs);
            (journal, jobs, result)
        });
        let (returned, jobs, result) = written.await.expect("the journal never panics");
        journal = returned;
        for job in jobs {
            report(job, &result).await;
        }
    }
}

fn write(journal: &mut Journal, jobs: &[WriteJob]) -> Result<(), journal::Error> {
    for job in jobs {
        codec::append(journal, job.group.0, &job.write)?;
    }
    journal.sync()
}

/// Tells a host; one that is gone needs to know nothing.
async fn report(job: WriteJob, result: &Result<(), journal::Error>) {
    let event = match result {
        Ok(()) => Event::WriteSynced(job.write.synced()),
        Err(error) => Event::JournalFailed {
            cause: error.to_string(),
        },
    };
    drop(job.host.send(event).await);
}
