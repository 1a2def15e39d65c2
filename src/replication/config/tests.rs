use super::*;

#[test]
fn invalid_configuration_is_rejected_with_its_cause() {
    let config = |members: &str, tick: &str| {
        let text = format!(
            "folder = \"f\"\nlisten = \"127.0.0.1:1\"\ncontrol = \"127.0.0.1:2\"\n{tick}\n[members]\n{members}\n"
        );
        toml::from_str::<GroupConfig>(&text).unwrap()
    };
    let good = config("1 = \"127.0.0.1:1\"\n22 = \"127.0.0.1:3\"", "");
    assert_eq!(good.check(), Ok(()));
    assert_eq!(good.members().unwrap().into_keys().collect::<Vec<_>>(), [1, 22]);
    for (members, tick, fault) in [
        ("", "", "no members are listed"),
        ("0 = \"127.0.0.1:1\"", "", "'0'"),
        ("one = \"127.0.0.1:1\"", "", "'one'"),
        ("1 = \"127.0.0.1:1\"", "tick_ms = 0", "tick_ms"),
    ] {
        let error = config(members, tick).check().unwrap_err().to_string();
        assert!(error.contains(fault), "{error}");
    }
}
