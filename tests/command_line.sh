#!/bin/sh
# Checks the command line: help, version, --check-config, and errors, which exit with status 2 and
# print one line on standard error.
# Usage: command_line.sh PROGRAM
bin=$1
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
failures=0
# expect NAME STATUS PATTERN COMMAND...
# Fails unless the command exits with this status and its output matches the pattern.
expect() {
    name=$1 expected_status=$2 pattern=$3
    shift 3
    "$@" >"$dir/out" 2>"$dir/err"
    status=$?
    if [ "$status" != "$expected_status" ] ||
        ! cat "$dir/out" "$dir/err" | grep -q -- "$pattern"; then
        echo "FAIL $name: exit status $status, expected $expected_status; expected output: $pattern"
        cat "$dir/out" "$dir/err"
        failures=$((failures + 1))
    fi
    if [ "$expected_status" = 2 ] && [ "$(wc -l <"$dir/err")" != 1 ]; then
        echo "FAIL $name: standard error has not exactly one line"
        failures=$((failures + 1))
    fi
}
cat >"$dir/valid.toml" <<T
node_name = "n0"
zone = "a"
bind = "127.0.0.1:1"
peer_listen = "127.0.0.1:2"
[services]
cloud = "127.0.0.1:3"
state = "127.0.0.1:4"
[deployment.workers]
report_s = 3.0
lease_s = 30.0
cancel_s = 60.0
[deployment.state]
rps = 10
write_rps = 10
value_kb = 4
txn_ops = 8
[deployment.cloud]
rps = 1
list_lag_s = 5
T
echo 'rounds = maybe' >"$dir/invalid.hcl"
expect help 0 check-config "$bin" --help
expect version 0 'ringrock [0-9]' "$bin" --version
expect valid-settings 0 fine "$bin" --config "$dir/valid.toml" --check-config
expect config-not-given 2 config "$bin"
expect unknown-option 2 bogus "$bin" --bogus
expect extra-argument 2 argument "$bin" --config "$dir/valid.toml" more
expect config-missing 2 none.toml "$bin" --config "$dir/none.toml"
expect log-level 2 LOG_LEVEL env LOG_LEVEL=loud "$bin" --config "$dir/valid.toml" --check-config
expect tuning 2 rounds \
    "$bin" --config "$dir/valid.toml" --settings "$dir/invalid.hcl" --check-config
expect tuning-environment 2 rounds \
    env RINGROCK_SETTINGS="$dir/invalid.hcl" "$bin" --config "$dir/valid.toml" --check-config
admission="$(dirname "$0")/../deploy/admission.conf"
expect admission 0 fine "$bin" --config "$dir/valid.toml" --admission "$admission" --check-config
echo 'interval = 5' >"$dir/admission.conf"
expect admission-unknown 2 "admission.conf:1: no such option" \
    "$bin" --config "$dir/valid.toml" --admission "$dir/admission.conf" --check-config
expect admission-missing 2 none.conf \
    "$bin" --config "$dir/valid.toml" --admission "$dir/none.conf" --check-config
expect admission-environment 2 admission.conf \
    env RINGROCK_ADMISSION="$dir/admission.conf" "$bin" --config "$dir/valid.toml" --check-config
cells="$(dirname "$0")/../deploy/cells.conf"
expect cells 0 fine "$bin" --config "$dir/valid.toml" --cells "$cells" --check-config
expect cells-and-admission 0 fine \
    "$bin" --config "$dir/valid.toml" --cells "$cells" --admission "$admission" --check-config
sed 's/10.1.0.0.16/10.1.0.0/' "$cells" >"$dir/cells.conf"
expect cells-network 2 'cells.conf:21: networks: "10.1.0.0" is no CIDR prefix' \
    "$bin" --config "$dir/valid.toml" --cells "$dir/cells.conf" --check-config
expect cells-environment 2 cells.conf:21 \
    env RINGROCK_CELLS="$dir/cells.conf" "$bin" --config "$dir/valid.toml" --check-config
expect cells-missing 2 none.conf \
    "$bin" --config "$dir/valid.toml" --cells "$dir/none.conf" --check-config
{ cat "$dir/valid.toml"; printf '[deployment.limits]\nmax_sockets = 100\n'; } >"$dir/sockets.toml"
expect max-sockets 2 'no room' "$bin" --config "$dir/sockets.toml" --check-config
[ "$failures" = 0 ]
