//! Settings from flags and environment variables, and their faults.

use std::net::SocketAddr;

use persimmon_settings::{Setting, SettingFault, Settings};
use rstest::rstest;

const SPECS: [Setting; 3] = [
    Setting::new("peer-listen", "ADDRESS", "where peers connect"),
    Setting::new("threads", "COUNT", "traffic threads").with_default("2"),
    Setting::new("name", "NAME", "the process's name"),
];

fn read(args: &[&str], variables: &[(&str, &str)]) -> Settings {
    let args: Vec<_> = args.iter().map(|arg| (*arg).to_owned()).collect();
    let variable = |name: &str| {
        variables.iter().find(|(key, _)| *key == name).map(|(_, value)| (*value).to_owned())
    };
    Settings::read(&SPECS, &args, variable).unwrap()
}

#[rstest]
#[case::flag(&["--threads", "3"], &[], 3)]
#[case::variable(&[], &[("PERSIMMON_THREADS", "4")], 4)]
#[case::flag_before_variable(&["--threads", "3"], &[("PERSIMMON_THREADS", "4")], 3)]
#[case::default(&[], &[], 2)]
fn value_source(
    #[case] args: &[&str],
    #[case] variables: &[(&str, &str)],
    #[case] expected: usize,
) {
    let mut settings = read(args, variables);
    assert_eq!(settings.required::<usize>("threads"), Some(expected));
    settings.finish().unwrap();
}

#[test]
fn finish_reports_every_fault() {
    let mut settings = read(&["--peer-listen", "nowhere", "--threads", "-1"], &[]);
    settings.required::<SocketAddr>("peer-listen");
    settings.required::<usize>("threads");
    settings.required::<String>("name");
    let err = settings.finish().unwrap_err();
    assert_eq!(err.faults.len(), 3);
    assert!(matches!(err.faults[2], SettingFault::Missing { name: "name", .. }));
    assert!(err.to_string().contains("set PERSIMMON_NAME"));
}

#[test]
fn read_unknown_flag() {
    let args = ["--unknown".to_owned()];
    let err = Settings::read(&SPECS, &args, |_| None).unwrap_err();
    assert!(err.to_string().contains("see --help"));
}
