# Functions of scripts/up.sh: layout, settings and start of the demo site. The variables build, run, hosts, base and
# ready_seconds are set before it is sourced.

ranwala_centres=(west-colombo central-kandy south-galle)
fireweed_centres=(kamloops-a burnaby-a prince-george-a)
centres=("${ranwala_centres[@]}" "${fireweed_centres[@]}")
databases=(sizing-core-1 sizing-core-2 sizing-core-3 smoke-core-1 smoke-core-2 smoke-core-3)
letters=(a b c)
# Each entry: an organisation, then its databases.
organisations=(
    "kandy-tailors sizing-core-1 sizing-core-2"
    "colombo-batik sizing-core-2 sizing-core-3"
    "galle-bridal sizing-core-3 sizing-core-1"
    "cariboo-district smoke-core-1 smoke-core-2"
    "chilcotin-band smoke-core-2 smoke-core-3"
    "ski-hill smoke-core-3 smoke-core-1"
)
slots=3
between_regions_ms=20
first_target_port=$((base + 10))
first_host_port=$((base + 100))
ports_per_host=4

address() { echo "127.0.0.1:$1"; }
organisation_key() { echo "demo-key-of-$1"; }
is_sizing() { [[ $1 == sizing-* ]]; }
connection_cap() { is_sizing "$1" && echo 50 || echo 100; }
centre_of() { is_sizing "$1" && echo "${ranwala_centres[$2]}" || echo "${fireweed_centres[$2]}"; }
target_name() { echo "${databases[$1]}-${letters[$2]}"; }
target_port() { echo $((first_target_port + 2 * (3 * $1 + $2))); }
control_port() { echo $(($(target_port "$1" "$2") + 1)); }
host_port() { echo $((first_host_port + ports_per_host * $1)); }
host_centre() { echo "${centres[$(($1 % ${#centres[@]}))]}"; }
pid_of() { awk -v name="$1" '$2 == name { print $1 }' "$run/pids"; }

# Calls the function $1 with the index of each database and of each of its targets.
each_target() {
    local database member
    for database in "${!databases[@]}"; do
        for member in "${!letters[@]}"; do "$1" "$database" "$member"; done
    done
}

# Calls the function $1 with the number of each host, from 0.
each_host() {
    local host
    for ((host = 0; host < hosts; ++host)); do "$1" "$host"; done
}

# Prints the one-way delay in milliseconds between two data centres.
delay_between() {
    local first=" ${ranwala_centres[*]} "
    if [ "$1" = "$2" ]; then echo 0
    elif [[ $first == *" $1 "* && $first == *" $2 "* ]]; then echo 0.5
    elif [[ $first != *" $1 "* && $first != *" $2 "* ]]; then echo 1
    else echo "$between_regions_ms"; fi
}

write_schemas() {
    cat > "$run/sizing.sql" <<'SQL'
CREATE TABLE profiles(id INTEGER PRIMARY KEY, member TEXT, shopper TEXT, chest REAL, waist REAL, updated BIGINT);
CREATE TABLE charts(id INTEGER PRIMARY KEY, garment TEXT, size TEXT, chest REAL, waist REAL);
CREATE TABLE checkouts(id INTEGER PRIMARY KEY, shopper TEXT, garment TEXT, size TEXT, taken BIGINT);
INSERT INTO charts VALUES(1, 'sari blouse', 'S', 81, 66), (2, 'sari blouse', 'M', 88, 73), (3, 'sarong', 'L', 100, 86);
SQL
    cat > "$run/smoke.sql" <<'SQL'
CREATE TABLE readings(id INTEGER PRIMARY KEY, station TEXT, pm25 REAL, taken BIGINT);
CREATE TABLE notices(id INTEGER PRIMARY KEY, district TEXT, text TEXT, posted BIGINT);
CREATE TABLE tiles(id INTEGER PRIMARY KEY, x INTEGER, y INTEGER, body TEXT);
INSERT INTO tiles VALUES(1, 0, 0, 'clear'), (2, 0, 1, 'haze'), (3, 1, 0, 'smoke'), (4, 1, 1, 'clear');
SQL
}

# Prints its arguments, separated by a comma and a line end.
joined() {
    local first=1 item
    for item in "$@"; do
        [ "$first" = 1 ] || printf ',\n'
        printf '%s' "$item"
        first=0
    done
    printf '\n'
}

quoted_list() {
    local list="" item
    for item in "$@"; do list+="${list:+, }\"$item\""; done
    echo "[$list]"
}

placement_of() {
    local database=$1 member list=()
    for member in "${!letters[@]}"; do
        list+=("{\"name\": \"$(target_name "$database" "$member")\", \"address\": \"$(address "$(target_port "$database" "$member")")\", \"data_centre\": \"$(centre_of "${databases[$database]}" "$member")\"}")
    done
    printf '"%s": {"connection_cap": %s, "slots": %s, "targets": [\n%s]}' "${databases[$database]}" \
        "$(connection_cap "${databases[$database]}")" "$slots" "$(joined "${list[@]}")"
}

write_document() {
    local placements=() members=() ages=() line names digest database
    for database in "${!databases[@]}"; do placements+=("$(placement_of "$database")"); done
    for line in "${organisations[@]}"; do
        read -r -a names <<< "$line"
        digest=$(organisation_key "${names[0]}" | tr -d '\n' | sha256sum | cut -d ' ' -f 1)
        members+=("\"${names[0]}\": {\"keys\": [\"$digest\"], \"databases\": $(quoted_list "${names[@]:1}")}")
        ages+=("\"${names[0]}\": {\"databases\": {\"${names[1]}\": {\"purposes\": {\"browse\": 60000, \"order\": 0}}}}")
    done
    cat > "$run/document.json" <<JSON
{"sections": {
"placement": {"databases": {
$(joined "${placements[@]}")
}},
"organisations": {
$(joined "${members[@]}")
},
"staleness": {"default_ms": 1000, "organisations": {
$(joined "${ages[@]}")
}},
"maintenance": {"leaving_targets": [], "switches": []}
}}
JSON
}

write_platform_settings() {
    cat > "$run/platform.ini" <<INI
[platform]
address = $(address "$base")
control = $(address $((base + 1)))
document_file = $run/document.json
INI
    each_host write_listed_host
}

write_listed_host() {
    local port
    port=$(host_port "$1")
    cat >> "$run/platform.ini" <<INI
[host.host-$(($1 + 1))]
data_centre = $(host_centre "$1")
operators = $(address $((port + 1)))
peers = $(address $((port + 2)))
gossip = $(address $((port + 3)))
INI
}

write_target_settings() {
    local name database=${databases[$1]} centre member schema=smoke
    name=$(target_name "$1" "$2")
    is_sizing "$database" && schema=sizing
    {
        cat <<INI
[target]
name = $name
database = $database
data_centre = $(centre_of "$database" "$2")
address = $(address "$(target_port "$1" "$2")")
control = $(address "$(control_port "$1" "$2")")
initial_primary = $(target_name "$1" $(($1 % 3)))
slots = $slots
max_connections = $(connection_cap "$database")
connect_ms = 10
statement_ms = 1
state_dir = $run/state/$name
[schema]
file = $run/$schema.sql
[members]
INI
        for member in "${!letters[@]}"; do
            echo "$(target_name "$1" "$member") = $(address "$(control_port "$1" "$member")")"
        done
        echo "[delays_ms]"
        for centre in "${centres[@]}"; do
            echo "$centre = $(delay_between "$centre" "$(centre_of "$database" "$2")")"
        done
    } > "$run/$name.ini"
}

write_host_settings() {
    local port
    port=$(host_port "$1")
    cat > "$run/host-$(($1 + 1)).ini" <<INI
[host]
name = host-$(($1 + 1))
data_centre = $(host_centre "$1")
[listen]
callers = $(address "$port")
operators = $(address $((port + 1)))
peers = $(address $((port + 2)))
gossip = $(address $((port + 3)))
[platform]
address = $(address "$base")
[session]
signing_key = 64656d6f2d6b65792d6f662d736974652d
INI
}

# start NAME COMMAND...: starts a process in the background and records its pid.
start() {
    local name=$1
    shift
    "$@" </dev/null >"$run/log/$name.log" 2>&1 &
    echo "$! $name" >> "$run/pids"
}

start_target() {
    local name
    name=$(target_name "$1" "$2")
    start "$name" "$build/standins/target/standin-target" --settings "$run/$name.ini"
}

start_host() {
    start "host-$(($1 + 1))" "$build/src/app/auburnpost" serve --settings "$run/host-$(($1 + 1)).ini"
}

# await NAME URL: waits until the URL answers with a success status. Fails when the process has ended or after
# ready_seconds.
await() {
    local end=$((SECONDS + ready_seconds))
    until curl -fsS -m 2 -o /dev/null "http://$2" 2>/dev/null; do
        if [ "$SECONDS" -ge "$end" ] || ! kill -0 "$(pid_of "$1")" 2>/dev/null; then
            echo "up: $1 is not ready; last lines of its log:" >&2
            tail -n 5 "$run/log/$1.log" >&2
            return 1
        fi
        sleep 0.1
    done
}

await_target() { await "$(target_name "$1" "$2")" "$(address "$(control_port "$1" "$2")")/state"; }
await_host() { await "host-$(($1 + 1))" "$(address $(($(host_port "$1") + 1)))/ready"; }

add_target_endpoint() {
    local name
    name=$(target_name "$1" "$2")
    endpoints+=("{\"name\": \"$name\", \"database\": \"${databases[$1]}\", \"data_centre\": \"$(centre_of "${databases[$1]}" "$2")\", \"pid\": $(pid_of "$name"), \"address\": \"$(address "$(target_port "$1" "$2")")\", \"control\": \"$(address "$(control_port "$1" "$2")")\"}")
}

add_host_endpoint() {
    local name=host-$(($1 + 1)) port
    port=$(host_port "$1")
    endpoints+=("{\"name\": \"$name\", \"data_centre\": \"$(host_centre "$1")\", \"pid\": $(pid_of "$name"), \"callers\": \"$(address "$port")\", \"operators\": \"$(address $((port + 1)))\"}")
}

add_organisation_endpoint() {
    endpoints+=("{\"name\": \"$1\", \"key\": \"$(organisation_key "$1")\", \"databases\": $(quoted_list "${@:2}")}")
}

write_endpoints() {
    local endpoints=() host_list target_list line names
    each_host add_host_endpoint
    host_list=$(joined ${endpoints[@]+"${endpoints[@]}"})
    endpoints=()
    each_target add_target_endpoint
    target_list=$(joined "${endpoints[@]}")
    endpoints=()
    for line in "${organisations[@]}"; do
        read -r -a names <<< "$line"
        add_organisation_endpoint "${names[@]}"
    done
    cat > "$run/endpoints.json" <<JSON
{"hosts": [
$host_list],
"targets": [
$target_list],
"platform": {"pid": $(pid_of platform), "address": "$(address "$base")", "control": "$(address $((base + 1)))"},
"organisations": [
$(joined "${endpoints[@]}")]}
JSON
}
