//! Authentication of callers.

use {
    crate::{
        process::{App, KeyWatch},
        version::View,
    },
    conf::{ApiKey, Class},
    http_types::{Request, headers::AUTHORIZATION},
    types::{ClassId, KeyDigest, OrgId, Reason, Refusal},
};

const CLASS_HEADER: &str = "x-celerystage-class";
const AUTH_SCHEME: &str = "bearer ";

/// An authenticated caller, and the class that its request runs in.
pub(super) struct Caller {
    pub(super) org: OrgId,
    pub(super) weight: u32,
    pub(super) class: Class,
    /// Watches the key for its withdrawal; `None` on open routes.
    pub(super) watch: Option<KeyWatch>,
}

impl Caller {
    /// Authenticates the sender of a request by its key.
    pub(super) fn authenticate(app: &App, view: &View, request: &Request) -> Result<Self, Refusal> {
        let digest = bearer_key(request)?;
        let watch = app.keys.watch(digest);
        if app.node.store().is_withdrawn(&digest) {
            return Err(key_withdrawn());
        }
        app.check_platform_contact()?;
        let key = view
            .config
            .key(&digest)
            .ok_or_else(|| Refusal::not_run(Reason::NoKey, "the key is not known"))?;
        let class = requested_class(view, key, request)?;
        let weight = view.config.org(&key.org).map_or(1, |o| o.weight);
        Ok(Self {
            org: key.org.clone(),
            weight,
            class,
            watch: Some(watch),
        })
    }

    /// The caller of an open route, which needs no key.
    pub(super) fn anonymous(class: Class, org: OrgId) -> Self {
        Self {
            org,
            weight: 1,
            class,
            watch: None,
        }
    }

    /// Refuses the request if its key has been withdrawn since it was authenticated.
    pub(super) fn check_key(&self) -> Result<(), Refusal> {
        match &self.watch {
            Some(watch) if watch.is_withdrawn() => Err(key_withdrawn()),
            _ => Ok(()),
        }
    }

    /// Resolves when the key is withdrawn; never on open routes.
    pub(super) async fn wait_withdrawn(&self) {
        match &self.watch {
            Some(watch) => watch.wait_withdrawn().await,
            None => std::future::pending().await,
        }
    }
}

/// The refusal for a withdrawn key.
pub(super) fn key_withdrawn() -> Refusal {
    Refusal::not_run(Reason::KeyWithdrawn, "the key was withdrawn")
}

fn bearer_key(request: &Request) -> Result<KeyDigest, Refusal> {
    let missing = || Refusal::not_run(Reason::NoKey, "send the key as Authorization: Bearer KEY");
    let values = request.header(AUTHORIZATION).ok_or_else(missing)?;
    if values.iter().count() != 1 {
        return Err(missing());
    }
    let text = values.as_str();
    let scheme = text.get(..AUTH_SCHEME.len()).ok_or_else(missing)?;
    if !scheme.eq_ignore_ascii_case(AUTH_SCHEME) {
        return Err(missing());
    }
    let key = text[AUTH_SCHEME.len()..].trim();
    if key.is_empty() {
        return Err(missing());
    }
    Ok(KeyDigest::of_key(key.as_bytes()))
}

fn requested_class(view: &View, key: &ApiKey, request: &Request) -> Result<Class, Refusal> {
    let id = match request.header(CLASS_HEADER) {
        None => key.class.clone(),
        Some(values) => parse_class(key, values.as_str())?,
    };
    let unknown = || Refusal::not_run(Reason::NotFound, format!("no class is named {id}"));
    view.config.class(&id).cloned().ok_or_else(unknown)
}

fn parse_class(key: &ApiKey, name: &str) -> Result<ClassId, Refusal> {
    let id: ClassId = name
        .parse()
        .map_err(|e| Refusal::not_run(Reason::BadRequest, format!("{CLASS_HEADER}: {e}")))?;
    let allowed = key.classes.is_empty() || key.classes.contains(&id) || key.class == id;
    if !allowed {
        let message = format!("the key may not use class {id}");
        return Err(Refusal::not_run(Reason::Forbidden, message));
    }
    Ok(id)
}
