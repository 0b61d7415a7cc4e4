//! Who sent a request.

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
const SCHEME: &str = "bearer ";

/// A caller whose key is valid, and the class that its request runs in.
pub(super) struct Caller {
    pub(super) org: OrgId,
    pub(super) weight: u32,
    pub(super) class: Class,
    /// Resolves when the key is withdrawn; `None` on open routes.
    pub(super) watch: Option<KeyWatch>,
}

impl Caller {
    /// Finds the caller of a request by its key.
    pub(super) fn find(app: &App, view: &View, request: &Request) -> Result<Self, Refusal> {
        let digest = sent_key(request)?;
        let watch = app.keys.watch(digest);
        if app.node.store().is_withdrawn(&digest) {
            return Err(withdrawn());
        }
        app.check_contact()?;
        let key = view
            .config
            .key(&digest)
            .ok_or_else(|| Refusal::not_run(Reason::NoKey, "the key is not known"))?;
        let class = chosen_class(view, key, request)?;
        let weight = view.config.org(&key.org).map_or(1, |o| o.weight);
        Ok(Self {
            org: key.org.clone(),
            weight,
            class,
            watch: Some(watch),
        })
    }

    /// The caller of an open route, where no key is needed.
    pub(super) fn anyone(class: Class, org: OrgId) -> Self {
        Self {
            org,
            weight: 1,
            class,
            watch: None,
        }
    }

    /// Whether the key was withdrawn meanwhile.
    pub(super) fn check(&self) -> Result<(), Refusal> {
        match &self.watch {
            Some(watch) if watch.is_withdrawn() => Err(withdrawn()),
            _ => Ok(()),
        }
    }

    /// Resolves when the key is withdrawn.
    pub(super) async fn withdrawn(&self) {
        match &self.watch {
            Some(watch) => watch.withdrawn().await,
            None => std::future::pending().await,
        }
    }
}

/// The refusal of a withdrawn key.
pub(super) fn withdrawn() -> Refusal {
    Refusal::not_run(Reason::KeyWithdrawn, "the key was withdrawn")
}

fn sent_key(request: &Request) -> Result<KeyDigest, Refusal> {
    let missing = || Refusal::not_run(Reason::NoKey, "send the key as Authorization: Bearer KEY");
    let values = request.header(AUTHORIZATION).ok_or_else(missing)?;
    if values.iter().count() != 1 {
        return Err(missing());
    }
    let text = values.as_str();
    let scheme = text.get(..SCHEME.len()).ok_or_else(missing)?;
    if !scheme.eq_ignore_ascii_case(SCHEME) {
        return Err(missing());
    }
    let key = text[SCHEME.len()..].trim();
    if key.is_empty() {
        return Err(missing());
    }
    Ok(KeyDigest::of_key(key.as_bytes()))
}

fn chosen_class(view: &View, key: &ApiKey, request: &Request) -> Result<Class, Refusal> {
    let id = match request.header(CLASS_HEADER) {
        None => key.class.clone(),
        Some(values) => named_class(key, values.as_str())?,
    };
    let unknown = || Refusal::not_run(Reason::NotFound, format!("no class is named {id}"));
    view.config.class(&id).cloned().ok_or_else(unknown)
}

fn named_class(key: &ApiKey, name: &str) -> Result<ClassId, Refusal> {
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
