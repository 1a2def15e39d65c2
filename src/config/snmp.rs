//! The section `[snmp]`: access control of the management agent and receivers of notifications.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use curlewdeck_snmp::tree::View;
use curlewdeck_snmp::usm::User;
use curlewdeck_snmp::{parse_oid, Oid};
use serde::Deserialize;

use super::{read_secret, SnmpConfigError};

/// The management agent's configuration.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SnmpConfig {
    /// The UDP address on which the agent receives requests.
    pub listen: SocketAddr,
    /// The community for read access by SNMPv2c, in clear text. `None` disables SNMPv2c.
    #[serde(default)]
    pub community: Option<String>,
    /// The file of the SNMPv3 users, accessible only to its owner. `None` disables SNMPv3.
    #[serde(default)]
    pub users: Option<PathBuf>,
    /// Views that restrict users or the community. Without a view, all objects are visible.
    #[serde(default)]
    pub views: Vec<ViewConfig>,
    /// The receivers of notifications; none if empty.
    #[serde(default)]
    pub notify: Vec<NotifyConfig>,
    /// A notification is sent when more than this share of the queries within ten seconds is rejected.
    #[serde(default = "default_refusal_share")]
    pub refusal_share: f64,
    /// The agent's engine id in hexadecimal digits, for localized keys. `None` means that one is generated at startup.
    #[serde(default)]
    pub engine_id: Option<String>,
}

fn default_refusal_share() -> f64 {
    0.1
}

/// A receiver of SNMPv2c notifications.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NotifyConfig {
    /// The receiver's UDP address.
    pub to: SocketAddr,
    /// The community string sent with each notification.
    pub community: String,
    /// Whether to send informs, which are retried until the receiver acknowledges them, in place of traps.
    #[serde(default)]
    pub inform: bool,
}

/// The subtrees that a user or the community may read.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ViewConfig {
    /// The owner of the view: the name of a user, or the community.
    pub of: String,
    /// Visible subtrees, as object identifiers in dotted notation.
    #[serde(default)]
    pub include: Vec<String>,
    /// Hidden subtrees, in the same notation.
    #[serde(default)]
    pub exclude: Vec<String>,
}

/// The validated access control of the agent.
pub struct SnmpAccess {
    /// The SNMPv2c community and its view; `None` if SNMPv2c is disabled.
    pub community: Option<(String, View)>,
    /// The SNMPv3 users, each with its view; empty if SNMPv3 is disabled.
    pub users: Vec<SnmpUser>,
}

/// An SNMPv3 user with the random start value of the salts of its messages.
pub struct SnmpUser {
    /// The user with its keys and view.
    pub user: User,
    /// The salt of the first message; each further message uses the next number.
    pub salt: u64,
}

/// The start of a generated engine id (RFC 3411, section 5): the enterprise number with its first bit set, then format
/// 5, octets defined by the enterprise.
const ENGINE_ID_PREFIX: [u8; 5] = [0x80, 0x00, 0x7e, 0xd9, 5];
const ENGINE_ID_RANDOM_BYTES: usize = 8;
const ENGINE_ID_BYTES: std::ops::RangeInclusive<usize> = 5..=32;

impl SnmpConfig {
    /// Validates the section, including the file of users.
    ///
    /// # Errors
    /// The engine id, the users or a view is invalid. The error contains no secret.
    pub fn check(&self) -> Result<(), SnmpConfigError> {
        self.engine_id()?;
        self.access()?;
        Ok(())
    }

    /// The configured engine id, or a generated one.
    ///
    /// # Errors
    /// The configured engine id is invalid, or no random numbers are available.
    pub fn engine_id(&self) -> Result<Vec<u8>, SnmpConfigError> {
        let Some(text) = &self.engine_id else {
            let suffix = random_bytes::<ENGINE_ID_RANDOM_BYTES>()?;
            return Ok([&ENGINE_ID_PREFIX[..], &suffix].concat());
        };
        let id = hex::decode(text).ok().filter(|id| ENGINE_ID_BYTES.contains(&id.len()));
        id.ok_or_else(|| SnmpConfigError::InvalidEngineId(text.clone()))
    }

    /// Reads the users and returns them and the community with their views.
    ///
    /// # Errors
    /// Neither a community nor users are configured, the file of users is invalid, or a view has an unknown owner or an
    /// invalid subtree. The error contains no secret.
    pub fn access(&self) -> Result<SnmpAccess, SnmpConfigError> {
        if self.community.is_none() && self.users.is_none() {
            return Err(SnmpConfigError::NoCommunityOrUsers);
        }
        let community = match &self.community {
            Some(community) => Some((community.clone(), self.view_of(community)?)),
            None => None,
        };
        let users = match &self.users {
            Some(path) => self.read_users(path)?,
            None => Vec::new(),
        };
        let has_access = |name: &String| {
            self.community.as_ref() == Some(name) || users.iter().any(|known| known.user.name == *name)
        };
        match self.views.iter().find(|view| !has_access(&view.of)) {
            Some(view) => Err(SnmpConfigError::UnknownViewOwner(view.of.clone())),
            None => Ok(SnmpAccess { community, users }),
        }
    }

    fn read_users(&self, path: &Path) -> Result<Vec<SnmpUser>, SnmpConfigError> {
        let users = User::parse_file(&read_secret(path)?).map_err(|reason| {
            SnmpConfigError::InvalidUsers { path: path.to_path_buf(), reason: reason.to_string() }
        })?;
        users.into_iter().map(|user| self.with_view_and_salt(user)).collect()
    }

    fn with_view_and_salt(&self, user: User) -> Result<SnmpUser, SnmpConfigError> {
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
