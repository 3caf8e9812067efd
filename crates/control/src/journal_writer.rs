use agreement::{GroupId, Write};
use journal::Journal;
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};
use tokio::sync::watch;
use tokio::task;

use crate::codec;
use crate::host::{Event, EventSender};

/// Write of one group, to be made durable.
#[derive(Debug)]
pub(crate) struct WriteJob {
    pub(crate) group: GroupId,
    pub(crate) host: EventSender,
    pub(crate) write: Write,
}

/// Handle of the task that owns the journal; the task ends once every sender of jobs is dropped.
#[derive(Debug)]
pub(crate) struct JournalWriter {
    pub(crate) closed: JournalClosed,
    pub(crate) jobs: UnboundedSender<WriteJob>,
}

/// Receiver that is notified when the journal is closed.
#[derive(Debug, Clone)]
pub(crate) struct JournalClosed(watch::Receiver<()>);

impl JournalWriter {
    pub(crate) fn spawn(journal: Journal) -> Self {
        let (jobs, queued_jobs) = mpsc::unbounded_channel();
        let (running_guard, closed) = watch::channel(());
        tokio::spawn(async move {
            run(journal, queued_jobs).await;
            drop(running_guard);
        });
        Self {
            closed: JournalClosed(closed),
            jobs,
        }
    }
}

impl JournalClosed {
    pub(crate) async fn wait(mut self) {
        while self.0.changed().await.is_ok() {}
    }
}

async fn run(mut journal: Journal, mut queued_jobs: UnboundedReceiver<WriteJob>) {
    while let Some(first) = queued_jobs.recv().await {
        let mut jobs = vec![first];
        while let Ok(job) = queued_jobs.try_recv() {
            jobs.push(job);
        }
        let write_task = task::spawn_blocking(move || {
            let result = write(&mut journal, &jobs);
            (journal, jobs, result)
        });
        let (returned_journal, jobs, result) = write_task.await.expect("the journal never panics");
        journal = returned_journal;
        for job in jobs {
            report_result(job, &result).await;
        }
    }
}

fn write(journal: &mut Journal, jobs: &[WriteJob]) -> Result<(), journal::Error> {
    for job in jobs {
        codec::append(journal, job.group.0, &job.write)?;
    }
    journal.sync()
}

/// Reports the result of a write to its host, unless the host has stopped.
async fn report_result(job: WriteJob, result: &Result<(), journal::Error>) {
    let event = match result {
        Ok(()) => Event::WriteDurable(job.write.into_durable()),
        Err(error) => Event::JournalFailed {
            cause: error.to_string(),
        },
    };
    drop(job.host.send(event).await);
}
