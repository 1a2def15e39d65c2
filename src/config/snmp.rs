//! The section `[snmp]`: who may read the management agent's objects, and who is notified.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use curlewdeck_snmp::tree::View;
use curlewdeck_snmp::usm::User;
use curlewdeck_snmp::{parse_oid, Oid};
use serde::Deserialize;

use super::{read_secret, SnmpConfigError};

/// What the edge's file says of the management agent.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SnmpConfig {
    /// Where it listens (UDP).
    pub listen: SocketAddr,
    /// The community that may read with version 2c, in clear text; without it nobody may.
    #[serde(default)]
    pub community: Option<String>,
    /// The file of the users of version 3, readable by its owner only.
    #[serde(default)]
    pub users: Option<PathBuf>,
    /// What users, or with their name the community, may see; all objects where nothing is said.
    #[serde(default)]
    pub views: Vec<ViewConfig>,
    /// Who is sent notifications.
    #[serde(default)]
    pub notify: Vec<NotifyConfig>,
    /// A notification is sent where more than this share of the queries of ten seconds is rejected.
    #[serde(default = "default_refusal_share")]
    pub refusal_share: f64,
    /// The agent's engine id in hexadecimal digits, for localised keys; without it one is generated at the start.
    #[serde(default)]
    pub engine_id: Option<String>,
}

fn default_refusal_share() -> f64 {
    0.1
}

/// A receiver of notifications of version 2c.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NotifyConfig {
    /// Its address.
    pub to: SocketAddr,
    /// The community.
    pub community: String,
    /// Whether it acknowledges notifications, which are repeated until then.
    #[serde(default)]
    pub inform: bool,
}

/// One view.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ViewConfig {
    /// Whose view it is: a user's name, or the community.
    pub of: String,
    /// Subtrees that are seen, as names in dots.
    #[serde(default)]
    pub include: Vec<String>,
    /// Subtrees that are not.
    #[serde(default)]
    pub exclude: Vec<String>,
}

/// Who may read the agent's objects, and which of them.
pub struct SnmpAccess {
    /// The community of version 2c.
    pub community: Option<(String, View)>,
    /// The users of version 3, each with its view.
    pub users: Vec<SnmpUser>,
}

/// A user of version 3, and the random number from which the salts of its messages count on.
pub struct SnmpUser {
    /// The user.
    pub user: User,
    /// The first salt.
    pub salt: u64,
}

/// An engine id begins as in RFC 3411, section 5: the enterprise number with its first bit set, and the format of
/// octets of our own.
const ENGINE_ID_PREFIX: [u8; 5] = [0x80, 0x00, 0x7e, 0xd9, 5];
const ENGINE_ID_RANDOM_BYTES: usize = 8;
const ENGINE_ID_BYTES: std::ops::RangeInclusive<usize> = 5..=32;

impl SnmpConfig {
    /// Whether the section can be used, the file of users included.
    ///
    /// # Errors
    /// Names what is wrong, and never a secret.
    pub fn check(&self) -> Result<(), SnmpConfigError> {
        self.engine_id()?;
        self.access()?;
        Ok(())
    }

    /// The engine id that the file gives, or a generated one.
    ///
    /// # Errors
    /// What the file gives is not an engine id.
    pub fn engine_id(&self) -> Result<Vec<u8>, SnmpConfigError> {
        let Some(text) = &self.engine_id else {
            let own = random_bytes::<ENGINE_ID_RANDOM_BYTES>()?;
            return Ok([&ENGINE_ID_PREFIX[..], &own].concat());
        };
        let id = hex::decode(text).ok().filter(|id| ENGINE_ID_BYTES.contains(&id.len()));
        id.ok_or_else(|| SnmpConfigError::InvalidEngineId(text.clone()))
    }

    /// The community and the users with their views.
    ///
    /// # Errors
    /// Names what is wrong, and never a secret.
    pub fn access(&self) -> Result<SnmpAccess, SnmpConfigError> {
        if self.community.is_none() && self.users.is_none() {
            return Err(SnmpConfigError::NobodyAdmitted);
        }
        let community = match &self.community {
            Some(community) => Some((community.clone(), self.view_of(community)?)),
            None => None,
        };
        let users = match &self.users {
            Some(path) => self.read_users(path)?,
            None => Vec::new(),
        };
        let is_admitted = |name: &String| {
            self.community.as_ref() == Some(name) || users.iter().any(|admitted| admitted.user.name == *name)
        };
        match self.views.iter().find(|view| !is_admitted(&view.of)) {
            Some(view) => Err(SnmpConfigError::UnknownViewer(view.of.clone())),
            None => Ok(SnmpAccess { community, users }),
        }
    }

    fn read_users(&self, path: &Path) -> Result<Vec<SnmpUser>, SnmpConfigError> {
        let users = User::read_all(&read_secret(path)?).map_err(|reason| SnmpConfigError::InvalidUsers {
            path: path.to_path_buf(),
            reason: reason.to_string(),
        })?;
        users.into_iter().map(|user| self.admit(user)).collect()
    }

    fn admit(&self, user: User) -> Result<SnmpUser, SnmpConfigError> {
        let salt = u64::from_be_bytes(random_bytes()?);
        let view = self.view_of(&user.name)?;
        Ok(SnmpUser { user: User { view, ..user }, salt })
    }

    fn view_of(&self, name: &str) -> Result<View, SnmpConfigError> {
        match self.views.iter().find(|view| view.of == name) {
            None => Ok(View::default()),
            Some(view) => Ok(View { include: read_oids(&view.include)?, exclude: read_oids(&view.exclude)? }),
        }
    }
}

fn read_oids(texts: &[String]) -> Result<Vec<Oid>, SnmpConfigError> {
    let read = |text: &String| parse_oid(text).ok_or_else(|| SnmpConfigError::InvalidOid(text.clone()));
    texts.iter().map(read).collect()
}

fn random_bytes<const COUNT: usize>() -> Result<[u8; COUNT], SnmpConfigError> {
    let mut bytes = [0; COUNT];
    getrandom::fill(&mut bytes).map_err(SnmpConfigError::NoRandomNumbers)?;
    Ok(bytes)
}
