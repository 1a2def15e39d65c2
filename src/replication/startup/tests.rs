use super::*;
use std::collections::BTreeMap;
use std::path::Path;

/// A temporary folder for a member and its configuration, removed on drop.
struct Home(PathBuf);

impl Home {
    fn new(name: &str) -> Self {
        let home = std::env::temp_dir().join(format!("curlewdeck-driver-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&home);
        std::fs::create_dir_all(&home).unwrap();
        Self(home)
    }

    fn config(&self) -> GroupConfig {
        let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
        let members = BTreeMap::from([("1".to_string(), any)]);
        GroupConfig { folder: self.0.join("group"), listen: any, control: any, members, tick_ms: 100 }
    }

    fn quarantined(&self) -> usize {
        let names = std::fs::read_dir(&self.0).unwrap().map(|f| f.unwrap().file_name());
        names.filter(|name| name.to_string_lossy().contains("aside")).count()
    }
}

impl Drop for Home {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn log_file(config: &GroupConfig) -> PathBuf {
    config.folder.join("group.redb")
}

fn rename(from: &Path, to: &Path) {
    std::fs::rename(from, to).unwrap();
}

/// Fails if a temporary disk error, or a second process with the same folder, causes an intact folder to be
/// quarantined: the member would lose entries that it has acknowledged.
#[test]
fn temporarily_unreadable_folder_is_not_quarantined() {
    let home = Home::new("fails");
    let config = home.config();
    create_founder_folder(&config, 1).unwrap();
    let (disk, member) = open_member(&config, &ReplicationLimits::default()).unwrap();
    assert_eq!(member.id(), 1);
    let second = open_member(&config, &ReplicationLimits::default());
    assert!(second.is_err_and(|e| !e.is_corrupt()), "opened twice");
    assert_eq!(home.quarantined(), 0, "a folder in use by another process was quarantined");
    drop((disk, member));
    // A directory in place of the file cannot be opened.
    let away = home.0.join("away");
    rename(&log_file(&config), &away);
    std::fs::create_dir(log_file(&config)).unwrap();
    let blocked = open_member(&config, &ReplicationLimits::default());
    assert!(blocked.is_err_and(|e| !e.is_corrupt()));
    assert_eq!(home.quarantined(), 0);
    std::fs::remove_dir(log_file(&config)).unwrap();
    rename(&away, &log_file(&config));
    assert_eq!(open_member(&config, &ReplicationLimits::default()).unwrap().1.id(), 1);
}

/// Fails if the start does not retry while the folder is unavailable for a shorter time than all attempts take.
#[test]
fn opening_the_folder_is_retried_at_the_start() {
    let home = Home::new("again");
    let config = home.config();
    create_founder_folder(&config, 1).unwrap();
    let (disk, _) = open_member(&config, &ReplicationLimits::default()).unwrap();
    let released = std::thread::spawn(move || {
        std::thread::sleep(OPEN_RETRY_INTERVAL);
        drop(disk);
    });
    assert_eq!(open_member(&config, &ReplicationLimits::default()).unwrap().1.id(), 1);
    released.join().unwrap();
}

/// Fails if a truncated log is not quarantined, or its member does not rejoin under a new id.
#[test]
fn folder_with_a_truncated_log_is_quarantined() {
    let home = Home::new("truncated");
    let config = home.config();
    create_founder_folder(&config, 1).unwrap();
    let whole = std::fs::read(log_file(&config)).unwrap();
    std::fs::write(log_file(&config), &whole[..whole.len() / 2]).unwrap();
    let (_, member) = open_member(&config, &ReplicationLimits::default()).unwrap();
    assert_ne!(member.id(), 1, "a truncated log was accepted");
    assert_eq!(home.quarantined(), 1);
}
