# Functions that start and stop the processes of the demo system. Sourced by
# up.sh, down.sh and demo.sh.
DIR=build/demo
BIN=build/bin
PIDS=$DIR/pids
# STOP_SECONDS limits the graceful shutdown of each process.
STOP_SECONDS=20

# start_all writes the files of the system, starts each process listed in
# $DIR/processes and records its process ID and name in $PIDS.
start_all() {
	if any_running; then
		echo "the demo system is running already; stop it with: make down" >&2
		return 1
	fi
	rm -rf "$DIR"
	mkdir -p "$DIR/log"
	"$BIN/layout" -dir "$DIR" -bin "$BIN" || return 1
	while read -r name command; do
		# The words of the command contain no quotes and no spaces, so the shell
		# splits it correctly.
		# shellcheck disable=SC2086
		nohup $command >"$DIR/log/$name.log" 2>&1 </dev/null &
		echo "$! $name" >>"$PIDS"
	done <"$DIR/processes"
}

# running succeeds if the process with this ID runs a program of $BIN. A recorded
# process ID that another program has reused does not count.
running() {
	ps -p "$1" -o args= 2>/dev/null | grep -q "^$BIN/"
}

# any_running succeeds if one of the recorded processes runs.
any_running() {
	[ -s "$PIDS" ] || return 1
	while read -r pid name; do
		running "$pid" && return 0
	done <"$PIDS"
	return 1
}

# report_ended names the recorded processes that have ended by themselves, with the last
# line of each one's log.
report_ended() {
	[ -s "$PIDS" ] || return 0
	while read -r pid name; do
		running "$pid" || echo "$name has ended: $(tail -n 1 "$DIR/log/$name.log")" >&2
	done <"$PIDS"
}

# stop_all stops the recorded processes, daemons first. It fails if one of them
# had to be killed.
stop_all() {
	[ -s "$PIDS" ] || return 0
	bad=0
	for part in daemon target; do
		while read -r pid name; do
			case $name in "$part"-*) running "$pid" && kill -TERM "$pid" ;; esac
		done <"$PIDS"
		while read -r pid name; do
			case $name in "$part"-*) wait_for "$pid" "$name" || bad=1 ;; esac
		done <"$PIDS"
	done
	rm -f "$PIDS"
	return $bad
}

# wait_for waits until the process with the ID $1 and the name $2 has stopped. After
# STOP_SECONDS it kills the process and fails.
wait_for() {
	tries=$((STOP_SECONDS * 10))
	while running "$1"; do
		tries=$((tries - 1))
		if [ $tries -le 0 ]; then
			echo "$2 did not stop within $STOP_SECONDS s; killing it" >&2
			kill -KILL "$1"
			return 1
		fi
		sleep 0.1
	done
}
