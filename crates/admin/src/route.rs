use hyper::Method;
use names::{CustomerName, KindName, percent_decode};
use table::{ItemId, KeyHash, Role, RowKey};

use crate::problem_document::ProblemDocument;

/// Operation that the method and path of a request select.
#[derive(Debug, Clone, Eq, PartialEq)]
pub(crate) enum Route {
    DeleteKey(ItemId),
    DeleteKind(KindName),
    DeleteRow(RowKey),
    Drain,
    GetCsv,
    GetEndpoints,
    GetHistory,
    GetInstances,
    GetKeys,
    GetKinds,
    GetRow(RowKey),
    GetStatus,
    GetTable,
    Health,
    Metrics,
    PostEdits,
    PostKey,
    PutCsv,
    PutKind(KindName),
    PutRow(RowKey),
    Ready,
}

impl Route {
    /// Finds the route of a method and path.
    pub(crate) fn find(method: &Method, path: &str) -> Result<Self, ProblemDocument> {
        let segments: Option<Vec<String>> = path
            .trim_start_matches('/')
            .split('/')
            .map(percent_decode)
            .collect();
        let segments = segments
            .ok_or_else(|| ProblemDocument::bad_request("the path is not percent-encoded UTF-8"))?;
        let segments: Vec<&str> = segments.iter().map(String::as_str).collect();
        match segments.as_slice() {
            ["healthz"] => require_get(method, Self::Health),
            ["metrics"] => require_get(method, Self::Metrics),
            ["readyz"] => require_get(method, Self::Ready),
            ["v1", rest @ ..] => Self::find_v1(method, rest),
            _ => Err(unknown_path()),
        }
    }

    /// Role that the route requires; none if it requires no key.
    pub(crate) fn required_role(&self) -> Option<Role> {
        match self {
            Self::Health | Self::Metrics | Self::Ready => None,
            Self::GetCsv
            | Self::GetEndpoints
            | Self::GetHistory
            | Self::GetInstances
            | Self::GetKinds
            | Self::GetRow(_)
            | Self::GetStatus
            | Self::GetTable => Some(Role::Read),
            Self::DeleteRow(_) | Self::PostEdits | Self::PutCsv | Self::PutRow(_) => {
                Some(Role::Edit)
            }
            Self::DeleteKey(_)
            | Self::DeleteKind(_)
            | Self::Drain
            | Self::GetKeys
            | Self::PostKey
            | Self::PutKind(_) => Some(Role::Operate),
        }
    }

    fn find_v1(method: &Method, segments: &[&str]) -> Result<Self, ProblemDocument> {
        match segments {
            ["drain"] => require_post(method, Self::Drain),
            ["endpoints"] => require_get(method, Self::GetEndpoints),
            ["instances"] => require_get(method, Self::GetInstances),
            ["keys"] => match *method {
                Method::GET => Ok(Self::GetKeys),
                Method::POST => Ok(Self::PostKey),
                _ => Err(ProblemDocument::method_not_allowed("GET, POST")),
            },
            ["keys", owner @ ("customers" | "operators"), hash] => match *method {
                Method::DELETE => Ok(Self::DeleteKey(key_item_id(owner, hash)?)),
                _ => Err(ProblemDocument::method_not_allowed("DELETE")),
            },
            ["kinds"] => require_get(method, Self::GetKinds),
            ["kinds", kind] => match *method {
                Method::DELETE => Ok(Self::DeleteKind(parse_kind_name(kind)?)),
                Method::PUT => Ok(Self::PutKind(parse_kind_name(kind)?)),
                _ => Err(ProblemDocument::method_not_allowed("PUT, DELETE")),
            },
            ["status"] => require_get(method, Self::GetStatus),
            ["table"] => require_get(method, Self::GetTable),
            ["table", "edits"] => require_post(method, Self::PostEdits),
            ["table", "history"] => require_get(method, Self::GetHistory),
            ["table", "rows", customer, kind] => Self::find_row(method, customer, kind),
            ["table.csv"] => match *method {
                Method::GET => Ok(Self::GetCsv),
                Method::PUT => Ok(Self::PutCsv),
                _ => Err(ProblemDocument::method_not_allowed("GET, PUT")),
            },
            _ => Err(unknown_path()),
        }
    }

    fn find_row(method: &Method, customer: &str, kind: &str) -> Result<Self, ProblemDocument> {
        let customer = CustomerName::new(customer)
            .map_err(|error| ProblemDocument::bad_request(format!("customer: {error}")))?;
        let kind = parse_kind_name(kind)?;
        let key = RowKey { customer, kind };
        match *method {
            Method::DELETE => Ok(Self::DeleteRow(key)),
            Method::GET => Ok(Self::GetRow(key)),
            Method::PUT => Ok(Self::PutRow(key)),
            _ => Err(ProblemDocument::method_not_allowed("GET, PUT, DELETE")),
        }
    }
}

/// Decoded value of a query parameter; the first if there are several.
pub(crate) fn query_value(query: &str, name: &str) -> Option<String> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let mut values = pairs.filter(|(parameter, _)| *parameter == name);
    percent_decode(values.next()?.1)
}

/// Parses a SHA-256 hash in hexadecimal digits.
pub(crate) fn parse_key_hash(text: &str) -> Result<KeyHash, ProblemDocument> {
    text.parse()
        .map_err(|_| ProblemDocument::bad_request("a key's hash is 64 hexadecimal digits"))
}

/// Parses the name of a kind of work.
pub(crate) fn parse_kind_name(text: &str) -> Result<KindName, ProblemDocument> {
    KindName::new(text).map_err(|error| ProblemDocument::bad_request(format!("kind: {error}")))
}

fn key_item_id(owner: &str, hash: &str) -> Result<ItemId, ProblemDocument> {
    let hash = parse_key_hash(hash)?;
    Ok(match owner {
        "customers" => ItemId::CustomerKey(hash),
        _ => ItemId::OperatorKey(hash),
    })
}

fn require_get(method: &Method, route: Route) -> Result<Route, ProblemDocument> {
    match *method {
        Method::GET => Ok(route),
        _ => Err(ProblemDocument::method_not_allowed("GET")),
    }
}

fn unknown_path() -> ProblemDocument {
    ProblemDocument::not_found("no such path")
}

fn require_post(method: &Method, route: Route) -> Result<Route, ProblemDocument> {
    match *method {
        Method::POST => Ok(route),
        _ => Err(ProblemDocument::method_not_allowed("POST")),
    }
}
