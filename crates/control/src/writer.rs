use agreement::{GroupId, Write};
use journal::Journal;
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};
use tokio::sync::watch;
use tokio::task;

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
    pub(crate) ended: Ended,
    pub(crate) jobs: UnboundedSender<WriteJob>,
}

/// Tells when the journal is closed.
#[derive(Debug, Clone)]
pub(crate) struct Ended(watch::Receiver<()>);

impl Writer {
    pub(crate) fn spawn(journal: Journal) -> Self {
        let (jobs, waiting) = mpsc::unbounded_channel();
        let (running, ended) = watch::channel(());
        tokio::spawn(async move {
            run(journal, waiting).await;
            drop(running);
        });
        Self {
            ended: Ended(ended),
            jobs,
        }
    }
}

impl Ended {
    pub(crate) async fn wait(mut self) {
        while self.0.changed().await.is_ok() {}
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
