.PHONY: build test sanitize lint format run example example-timeline example-sites example-audit example-lab rig mutants query clean

build:
	cmake -B build -DCMAKE_BUILD_TYPE=Release >/dev/null && cmake --build build -j4

test:
	cmake --preset tests && cmake --build --preset tests && ctest --preset tests

sanitize:
	cmake --preset sanitize && cmake --build --preset sanitize && ctest --preset sanitize

lint:
	clang-format --dry-run -Werror src/*.?pp src/*/*.?pp tests/*.?pp tests/*/*.?pp examples/*.?pp rig/*.?pp

format:
	clang-format -i src/*.?pp src/*/*.?pp tests/*.?pp tests/*/*.?pp examples/*.?pp rig/*.?pp

# The router as the platform starts it: RELAY_CONFIG names its configuration.
run: build
	exec build/yoketurn

# A router with toy data nodes and a toy discovery; Ctrl-C ends all.
example: build
	@trap 'kill 0' INT TERM EXIT; build/yoketurn_toy & RELAY_CONFIG=examples/config.json build/yoketurn & wait

# A node that stalls, seen in its time line.
example-timeline: build
	examples/timeline.sh

# The rig of many processes, and yoketurn-fleet.
rig:
	cmake --preset rig >/dev/null && cmake --build --preset rig

# Three sites, six routers: one site goes and comes back.
example-sites: rig
	examples/sites.sh

# Six routers under an auditor; one agent falls silent under its heartbeats.
example-audit: rig
	examples/audit.sh

# Which designs recover from a slow fleet: the lab, its table and curves.
example-lab: rig
	examples/lab.sh

# Faults planted in the decisions on sites and orders, each caught by its test. Takes some minutes.
mutants:
	tests/mutants.sh

# A first query to the example.
query:
	curl -sS -i http://127.0.0.1:18081/look -H 'X-Txn: first' -H 'X-Remaining: 2000m' \
	  -d '{"targets":[{"partition":3,"share":0.5},{"partition":6,"share":0.5}],"query":"hello"}'

clean:
	rm -rf build build-tests build-sanitize build-rig build-mutants
