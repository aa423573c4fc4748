//! Execution of the commands.

use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use bramleymount::declare::{Document, diff, load, split};
use bramleymount::error::Error;
use bramleymount::model::Version;
use bramleymount::operator::{
    ApplyRequest, ApplyResult, ConfigAnswer, HistoryEntry, StatusAnswer, TicketAnswer, TopAnswer,
};
use bramleymount::tables::JournalEntry;
use serde::Serialize;

use crate::args::{Apply, Args, Check, Command, Diff, Drain, Explain, Rollback, Ticket, Top};
use crate::client::DaemonClient;
use crate::printer;

/// Exit code of a command.
#[derive(Clone, Copy)]
enum ExitStatus {
    Done = 0,
    Refused = 1,
    InvalidInput = 2,
    NoAnswer = 3,
    Unknown = 4,
}

/// An error that ends a command, and the text to print.
struct CommandError {
    status: ExitStatus,
    text: String,
}

impl From<Error> for CommandError {
    fn from(error: Error) -> Self {
        Self {
            status: ExitStatus::NoAnswer,
            text: error.to_string(),
        }
    }
}

/// Runs a command and returns its exit code.
pub(crate) fn run(args: Args) -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(e) => {
            eprintln!("cannot start: {e}");
            return ExitCode::from(ExitStatus::InvalidInput as u8);
        }
    };
    let status = match runtime.block_on(command(args)) {
        Ok(status) => status,
        Err(error) => {
            eprintln!("{}", error.text);
            error.status
        }
    };
    ExitCode::from(status as u8)
}

async fn command(args: Args) -> Result<ExitStatus, CommandError> {
    let json = args.json;
    match args.command {
        Command::Check(args) => check(&args, json),
        Command::Diff(args) => show_diff(&args, json).await,
        Command::Apply(args) => apply(args, json).await,
        Command::Status(args) => {
            let answer: StatusAnswer = DaemonClient::new(args.address).get("status").await?;
            show(json, &answer, || printer::status(&answer))
        }
        Command::History(args) => {
            let entries: Vec<HistoryEntry> = DaemonClient::new(args.address).get("history").await?;
            show(json, &entries, || printer::history(&entries))
        }
        Command::Rollback(args) => rollback(args, json).await,
        Command::Drain(args) => drain(&args, json).await,
        Command::Explain(args) => explain(&args, json).await,
        Command::Top(args) => top(&args, json).await,
        Command::Ticket(args) => ticket(&args, json).await,
    }
}

fn show<T: Serialize>(
    json: bool,
    value: &T,
    text: impl FnOnce() -> String,
) -> Result<ExitStatus, CommandError> {
    if json {
        println!("{}", serde_json::to_string(value).unwrap_or_default());
    } else {
        print!("{}", text());
    }
    Ok(ExitStatus::Done)
}

/// The JSON output of commands that print only a message.
#[derive(Serialize)]
struct Message<'a> {
    message: &'a str,
}

fn documents(dir: &Path) -> Result<Vec<Document>, CommandError> {
    match load(dir) {
        Ok(estate) => Ok(split(&estate)),
        Err(errors) => Err(CommandError {
            status: ExitStatus::InvalidInput,
            text: errors.to_string(),
        }),
    }
}

fn check(args: &Check, json: bool) -> Result<ExitStatus, CommandError> {
    let documents = documents(&args.dir)?;
    let text = format!("{}: ok, {} documents", args.dir.display(), documents.len());
    show(json, &Message { message: &text }, || format!("{text}\n"))
}

async fn show_diff(args: &Diff, json: bool) -> Result<ExitStatus, CommandError> {
    let ours = documents(&args.dir)?;
    let current: ConfigAnswer = DaemonClient::new(args.address).get("config").await?;
    let changes: Vec<String> = diff(&current.documents, &ours)
        .iter()
        .map(ToString::to_string)
        .collect();
    show(json, &changes, || {
        let mut text = format!("against version {}:\n", current.version);
        for change in &changes {
            text.push_str(change);
            text.push('\n');
        }
        text
    })
}

async fn apply(args: Apply, json: bool) -> Result<ExitStatus, CommandError> {
    let documents = documents(&args.dir)?;
    let remote = DaemonClient::new(args.address);
    let base = match args.base {
        Some(base) => base,
        None => remote.get::<ConfigAnswer>("config").await?.version,
    };
    let change = args
        .change
        .unwrap_or_else(|| uuid::Uuid::now_v7().to_string());
    let next_command = format!(
        "bramleyctl apply {} --to {} --base {base} --change {change}",
        args.dir.display(),
        args.address
    );
    let request = ApplyRequest {
        change: change.into(),
        author: author(args.author),
        base,
        documents,
    };
    send_change(&remote, &request, &next_command, json).await
}

async fn rollback(args: Rollback, json: bool) -> Result<ExitStatus, CommandError> {
    let remote = DaemonClient::new(args.address);
    let entries: Vec<HistoryEntry> = remote.get("history").await?;
    let Some(entry) = entries.iter().find(|e| e.version == args.version) else {
        return Err(CommandError {
            status: ExitStatus::InvalidInput,
            text: format!(
                "version {} is not in the history; see bramleyctl history",
                args.version
            ),
        });
    };
    let old: ConfigAnswer = remote.get(&format!("version/{}", entry.manifest)).await?;
    let base = entries
        .first()
        .map_or(Version::NONE, |newest| newest.version);
    let request = ApplyRequest {
        change: uuid::Uuid::now_v7().to_string().into(),
        author: author(args.author),
        base,
        documents: old.documents,
    };
    let next_command = format!("bramleyctl history --to {}", args.address);
    send_change(&remote, &request, &next_command, json).await
}

fn author(given: Option<String>) -> Box<str> {
    given
        .or_else(|| std::env::var("USER").ok())
        .unwrap_or_else(|| "unknown".into())
        .into()
}

async fn send_change(
    remote: &DaemonClient,
    request: &ApplyRequest,
    next_command: &str,
    json: bool,
) -> Result<ExitStatus, CommandError> {
    let result = match remote.post::<_, ApplyResult>("apply", request).await {
        Ok(result) => result?,
        Err(error) => ApplyResult::Unknown {
            reason: error.to_string().into(),
        },
    };
    let (status, text) = match &result {
        ApplyResult::Accepted { version } => {
            (ExitStatus::Done, format!("accepted: version {version}\n"))
        }
        ApplyResult::Refused {
            reason, changes, ..
        } => {
            let mut text = format!("refused: {reason}\n");
            for change in changes {
                text.push_str(&format!("  {change}\n"));
            }
            (ExitStatus::Refused, text)
        }
        ApplyResult::Unknown { reason } => (
            ExitStatus::Unknown,
            format!("unknown: {reason}\nresolve it with: {next_command}\n"),
        ),
    };
    show(json, &result, || text)?;
    Ok(status)
}

async fn drain(args: &Drain, json: bool) -> Result<ExitStatus, CommandError> {
    let answer = DaemonClient::new(args.address).post_empty("drain").await?;
    let message = answer.trim();
    show(json, &Message { message }, || format!("{message}\n"))
}

async fn explain(args: &Explain, json: bool) -> Result<ExitStatus, CommandError> {
    let path = format!("explain/{}", args.call);
    let entries: Vec<JournalEntry> = DaemonClient::new(args.address).get(&path).await?;
    show(json, &entries, || printer::journal(&entries))
}

async fn ticket(args: &Ticket, json: bool) -> Result<ExitStatus, CommandError> {
    let path = format!("tickets/{}", args.service);
    let text = DaemonClient::new(args.address).post_empty(&path).await?;
    let answer: TicketAnswer = serde_json::from_str(&text)
        .map_err(|e| Error::remote(format!("the answer is invalid: {e}")))?;
    show(json, &answer, || format!("{}\n", answer.key))
}

async fn top(args: &Top, json: bool) -> Result<ExitStatus, CommandError> {
    let remote = DaemonClient::new(args.address);
    let interval = Duration::from_secs(args.interval_secs.max(1));
    let mut before: Option<TopAnswer> = None;
    let mut sample = 0;
    while args.samples.is_none_or(|samples| sample < samples) {
        if sample > 0 {
            tokio::time::sleep(interval).await;
        }
        let now: TopAnswer = remote.get("top").await?;
        show(json, &now, || {
            printer::top(&now, before.as_ref(), interval.as_secs_f64())
        })?;
        before = Some(now);
        sample += 1;
    }
    Ok(ExitStatus::Done)
}
