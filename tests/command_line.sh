#!/bin/sh
# The command line: help, version, checks, and bad use with exit 2 and one line.
bin=$1
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
fails=0
expect() { # name, wanted exit, pattern; then the command
    name=$1 want=$2 pattern=$3
    shift 3
    "$@" >"$dir/out" 2>"$dir/err"
    got=$?
    if [ "$got" != "$want" ] || ! cat "$dir/out" "$dir/err" | grep -q -- "$pattern"; then
        echo "FAIL $name: exit $got"
        cat "$dir/out" "$dir/err"
        fails=$((fails + 1))
    fi
    if [ "$want" = 2 ] && [ "$(wc -l <"$dir/err")" != 1 ]; then
        echo "FAIL $name: not one line"
        fails=$((fails + 1))
    fi
}
cat >"$dir/good.toml" <<T
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
echo 'rounds = maybe' >"$dir/bad.hcl"
expect help 0 check-config "$bin" --help
expect version 0 'ringrock [0-9]' "$bin" --version
expect good 0 fine "$bin" --config "$dir/good.toml" --check-config
expect no-config 2 config "$bin"
expect unknown 2 bogus "$bin" --bogus
expect extra 2 argument "$bin" --config "$dir/good.toml" more
expect missing 2 none.toml "$bin" --config "$dir/none.toml"
expect level 2 LOG_LEVEL env LOG_LEVEL=loud "$bin" --config "$dir/good.toml" --check-config
expect operators 2 rounds "$bin" --config "$dir/good.toml" --settings "$dir/bad.hcl" --check-config
expect environment 2 rounds env RINGROCK_SETTINGS="$dir/bad.hcl" "$bin" --config "$dir/good.toml" --check-config
admission="$(dirname "$0")/../deploy/admission.conf"
expect admission 0 fine "$bin" --config "$dir/good.toml" --admission "$admission" --check-config
echo 'interval = 5' >"$dir/admission.conf"
expect admission-unknown 2 "admission.conf:1: no such option" "$bin" --config "$dir/good.toml" --admission "$dir/admission.conf" --check-config
expect admission-missing 2 none.conf "$bin" --config "$dir/good.toml" --admission "$dir/none.conf" --check-config
expect admission-environment 2 admission.conf env RINGROCK_ADMISSION="$dir/admission.conf" "$bin" --config "$dir/good.toml" --check-config
cells="$(dirname "$0")/../deploy/cells.conf"
expect cells 0 fine "$bin" --config "$dir/good.toml" --cells "$cells" --check-config
expect cells-and-admission 0 fine "$bin" --config "$dir/good.toml" --cells "$cells" --admission "$admission" --check-config
sed 's/10.1.0.0.16/10.1.0.0/' "$cells" >"$dir/cells.conf"
expect cells-network 2 'cells.conf:21: networks: "10.1.0.0" is no CIDR prefix' "$bin" --config "$dir/good.toml" --cells "$dir/cells.conf" --check-config
expect cells-environment 2 cells.conf:21 env RINGROCK_CELLS="$dir/cells.conf" "$bin" --config "$dir/good.toml" --check-config
expect cells-missing 2 none.conf "$bin" --config "$dir/good.toml" --cells "$dir/none.conf" --check-config
{ cat "$dir/good.toml"; printf '[deployment.limits]\nmax_sockets = 100\n'; } >"$dir/sockets.toml"
expect no-sockets 2 'no room' "$bin" --config "$dir/sockets.toml" --check-config
[ "$fails" = 0 ]
