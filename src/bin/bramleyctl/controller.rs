//! What each command does.

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
use crate::client::Remote;
use crate::printer;

/// How a command ended.
#[derive(Clone, Copy)]
enum End {
    Done = 0,
    Refused = 1,
    Wrong = 2,
    NoAnswer = 3,
    Unknown = 4,
}

/// A command that did not come to its end, with what to print.
struct Failed {
    end: End,
    text: String,
}

impl From<Error> for Failed {
    fn from(error: Error) -> Self {
        Self {
            end: End::NoAnswer,
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
            return ExitCode::from(End::Wrong as u8);
        }
    };
    let end = match runtime.block_on(command(args)) {
        Ok(end) => end,
        Err(failed) => {
            eprintln!("{}", failed.text);
            failed.end
        }
    };
    ExitCode::from(end as u8)
}

async fn command(args: Args) -> Result<End, Failed> {
    let json = args.json;
    match args.command {
        Command::Check(args) => check(&args, json),
        Command::Diff(args) => show_diff(&args, json).await,
        Command::Apply(args) => apply(args, json).await,
        Command::Status(args) => {
            let answer: StatusAnswer = Remote::new(args.to).get("status").await?;
            show(json, &answer, || printer::status(&answer))
        }
        Command::History(args) => {
            let entries: Vec<HistoryEntry> = Remote::new(args.to).get("history").await?;
            show(json, &entries, || printer::history(&entries))
        }
        Command::Rollback(args) => rollback(args, json).await,
        Command::Drain(args) => drain(&args, json).await,
        Command::Explain(args) => explain(&args, json).await,
        Command::Top(args) => top(&args, json).await,
        Command::Ticket(args) => ticket(&args, json).await,
    }
}

fn show<T: Serialize>(json: bool, value: &T, text: impl FnOnce() -> String) -> Result<End, Failed> {
    if json {
        println!("{}", serde_json::to_string(value).unwrap_or_default());
    } else {
        print!("{}", text());
    }
    Ok(End::Done)
}

/// A message in JSON, where a command has nothing else to say.
#[derive(Serialize)]
struct Message<'a> {
    message: &'a str,
}

fn documents(dir: &Path) -> Result<Vec<Document>, Failed> {
    match load(dir) {
        Ok(estate) => Ok(split(&estate)),
        Err(errors) => Err(Failed {
            end: End::Wrong,
            text: errors.to_string(),
        }),
    }
}

fn check(args: &Check, json: bool) -> Result<End, Failed> {
    let documents = documents(&args.dir)?;
    let text = format!("{}: ok, {} documents", args.dir.display(), documents.len());
    show(json, &Message { message: &text }, || format!("{text}\n"))
}

async fn show_diff(args: &Diff, json: bool) -> Result<End, Failed> {
    let ours = documents(&args.dir)?;
    let current: ConfigAnswer = Remote::new(args.to).get("config").await?;
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

async fn apply(args: Apply, json: bool) -> Result<End, Failed> {
    let documents = documents(&args.dir)?;
    let remote = Remote::new(args.to);
    let base = match args.base {
        Some(base) => base,
        None => remote.get::<ConfigAnswer>("config").await?.version,
    };
    let change = args
        .change
        .unwrap_or_else(|| uuid::Uuid::now_v7().to_string());
    let settle = format!(
        "bramleyctl apply {} --to {} --base {base} --change {change}",
        args.dir.display(),
        args.to
    );
    let request = ApplyRequest {
        change: change.into(),
        author: author(args.author),
        base,
        documents,
    };
    send_change(&remote, &request, &settle, json).await
}

async fn rollback(args: Rollback, json: bool) -> Result<End, Failed> {
    let remote = Remote::new(args.to);
    let entries: Vec<HistoryEntry> = remote.get("history").await?;
    let Some(entry) = entries.iter().find(|e| e.version == args.version) else {
        return Err(Failed {
            end: End::Wrong,
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
    let settle = format!("bramleyctl history --to {}", args.to);
    send_change(&remote, &request, &settle, json).await
}

fn author(given: Option<String>) -> Box<str> {
    given
        .or_else(|| std::env::var("USER").ok())
        .unwrap_or_else(|| "unknown".into())
        .into()
}

async fn send_change(
    remote: &Remote,
    request: &ApplyRequest,
    settle: &str,
    json: bool,
) -> Result<End, Failed> {
    let result = match remote.post::<_, ApplyResult>("apply", request).await {
        Ok(result) => result?,
        Err(lost) => ApplyResult::Unknown {
            reason: lost.to_string().into(),
        },
    };
    let (end, text) = match &result {
        ApplyResult::Accepted { version } => (End::Done, format!("accepted: version {version}\n")),
        ApplyResult::Refused {
            reason, changes, ..
        } => {
            let mut text = format!("refused: {reason}\n");
            for change in changes {
                text.push_str(&format!("  {change}\n"));
            }
            (End::Refused, text)
        }
        ApplyResult::Unknown { reason } => (
            End::Unknown,
            format!("unknown: {reason}\nsettle it with: {settle}\n"),
        ),
    };
    show(json, &result, || text)?;
    Ok(end)
}

async fn drain(args: &Drain, json: bool) -> Result<End, Failed> {
    let answer = Remote::new(args.to).post_empty("drain").await?;
    let message = answer.trim();
    show(json, &Message { message }, || format!("{message}\n"))
}

async fn explain(args: &Explain, json: bool) -> Result<End, Failed> {
    let path = format!("explain/{}", args.call);
    let notes: Vec<JournalEntry> = Remote::new(args.to).get(&path).await?;
    show(json, &notes, || printer::notes(&notes))
}

async fn ticket(args: &Ticket, json: bool) -> Result<End, Failed> {
    let path = format!("tickets/{}", args.service);
    let text = Remote::new(args.to).post_empty(&path).await?;
    let answer: TicketAnswer = serde_json::from_str(&text)
        .map_err(|e| Error::remote(format!("the answer makes no sense: {e}")))?;
    show(json, &answer, || format!("{}\n", answer.key))
}

async fn top(args: &Top, json: bool) -> Result<End, Failed> {
    let remote = Remote::new(args.to);
    let every = Duration::from_secs(args.every.max(1));
    let mut before: Option<TopAnswer> = None;
    let mut look = 0;
    while args.looks.is_none_or(|looks| look < looks) {
        if look > 0 {
            tokio::time::sleep(every).await;
        }
        let now: TopAnswer = remote.get("top").await?;
        show(json, &now, || {
            printer::top(&now, before.as_ref(), every.as_secs_f64())
        })?;
        before = Some(now);
        look += 1;
    }
    Ok(End::Done)
}
