# Starts and stops the processes of the demo system. Read by up, down and demo.
DIR=build/demo
BIN=build/bin
PIDS=$DIR/pids
# STOP_SECONDS bounds a graceful stop.
STOP_SECONDS=20

# start_all starts each process of the list and records its id and name.
start_all() {
	if [ -s "$PIDS" ]; then
		echo "the demo system is running already; stop it with: make down" >&2
		return 1
	fi
	rm -rf "$DIR"
	mkdir -p "$DIR/log"
	"$BIN/layout" -dir "$DIR" -bin "$BIN" || return 1
	while read -r name command; do
		# The command holds no quotes and no spaces within a word.
		# shellcheck disable=SC2086
		nohup $command >"$DIR/log/$name.log" 2>&1 </dev/null &
		echo "$! $name" >>"$PIDS"
	done <"$DIR/processes"
}

# running succeeds where the process with this id is one of the recorded ones.
running() {
	ps -p "$1" -o args= 2>/dev/null | grep -q "^$BIN/"
}

# stop_all stops the recorded processes, daemons first, and fails where one did
# not stop by itself.
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

wait_for() {
	tries=$((STOP_SECONDS * 10))
	while running "$1"; do
		tries=$((tries - 1))
		if [ $tries -le 0 ]; then
			echo "$2 did not stop within $STOP_SECONDS s; killed" >&2
			kill -KILL "$1"
			return 1
		fi
		sleep 0.1
	done
}
