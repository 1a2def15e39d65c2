use super::*;
use std::collections::BTreeMap;
use std::path::Path;

/// A member's section, with a folder of its own that goes with it.
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

/// Guards what a member has acknowledged against a disk that fails for a while, or a second process at the same folder: the
/// folder stays, and the member is the same once it can be read.
#[test]
fn a_folder_that_cannot_be_read_now_is_not_quarantined() {
    let home = Home::new("fails");
    let config = home.config();
    found(&config, 1).unwrap();
    let (disk, member) = open_member(&config, &ReplicationLimits::default()).unwrap();
    assert_eq!(member.id(), 1);
    let second = open_member(&config, &ReplicationLimits::default());
    assert!(second.is_err_and(|e| !e.is_corrupt()), "opened twice");
    assert_eq!(home.quarantined(), 0, "taken from the process that uses it");
    drop((disk, member));
    // Whatever stands in its place cannot be opened, for now.
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

/// A disk that fails for less than the start waits costs nothing.
#[test]
fn a_folder_is_tried_again_at_the_start() {
    let home = Home::new("again");
    let config = home.config();
    found(&config, 1).unwrap();
    let (disk, _) = open_member(&config, &ReplicationLimits::default()).unwrap();
    let released = std::thread::spawn(move || {
        std::thread::sleep(OPEN_RETRY_INTERVAL);
        drop(disk);
    });
    assert_eq!(open_member(&config, &ReplicationLimits::default()).unwrap().1.id(), 1);
    released.join().unwrap();
}

/// What is torn is still quarantined at once.
#[test]
fn a_folder_that_is_torn_is_quarantined() {
    let home = Home::new("torn");
    let config = home.config();
    found(&config, 1).unwrap();
    let whole = std::fs::read(log_file(&config)).unwrap();
    std::fs::write(log_file(&config), &whole[..whole.len() / 2]).unwrap();
    let (_, member) = open_member(&config, &ReplicationLimits::default()).unwrap();
    assert_ne!(member.id(), 1, "a torn log was believed");
    assert_eq!(home.quarantined(), 1);
}
