#!/bin/bash
# Faults planted one at a time in what decides of sites and orders, each with the test that must fail for it: what the
# named test does not catch, nothing would. By hand (`make mutants`): each mutant is a build of its own.
#
#   tests/mutants.sh [NAME ...]     all, or only those named
#
# A line of the table: name @ file @ perl substitution @ program @ doctest's filter. Exit code 1: one lives, or the
# substitution no longer fits the source, or the test fails without it.
set -euo pipefail
cd "$(dirname "$0")/.."
work=build-mutants
mkdir -p "$work/tree"
# Older times would leave the last mutant's object in place; one that was stopped may have left its file.
cp -au CMakeLists.txt CMakePresets.json src tests rig examples bench deploy "$work/tree/"
find src rig -type f | while read -r file; do cmp -s "$file" "$work/tree/$file" || cp "$file" "$work/tree/$file"; done
cmake -S "$work/tree" -B "$work/build" -DCMAKE_BUILD_TYPE=Release -DYOKETURN_TESTS=ON -DYOKETURN_RIG=ON -DYOKETURN_FLEET=ON >/dev/null
table() {
  grep -v '^ *#' <<'TABLE'
return-at-once   @ src/sites/sites.cpp      @ s/kFirstLoadShare = 0.25;/kFirstLoadShare = 1;/ @ yoketurn_tests @ -ts=sites -tc=*return is paced*
one-node         @ src/sites/sites.cpp      @ s/kMinFailingNodes = 8; /kMinFailingNodes = 1; /; s/kSuspectedEvidence = 4;/kSuspectedEvidence = 1;/; s/std::max\(2, min_failing\)/std::min(1, min_failing)/; s/site.evidence >= kLostEvidence \|\|/site.evidence >= -kLostEvidence ||/ @ yoketurn_tests @ -ts=sites -tc=*what is no loss*
no-control       @ src/sites/sites.cpp      @ s/return answering >= kMinAnsweringElsewhere && answering >= failing;/return true;/ @ yoketurn_tests @ -ts=sites -tc=*what is no loss*
good-forgotten   @ src/sites/sites.cpp      @ s/site.failing_nodes >= kMinFailingShare \* \(site.failing_nodes \+ answering\) &&\s+// @ yoketurn_tests @ -ts=sites -tc=*half of which hangs*
outrun-forgotten @ src/sites/sites.cpp      @ s/node->unanswered_wait = now - waiting_since;/node->unanswered_wait = 0;/ @ yoketurn_tests @ -ts=sites -tc=*quicker copy*
old-silence      @ src/sites/sites.cpp      @ s/if \(node.site == site_id\) node.unanswered_wait = 0;/node.unanswered_wait += 0;/ @ yoketurn_tests @ -ts=sites -tc=*quicker copy*
list-is-life     @ src/sites/sites.cpp      @ s/if \(lost && host.started_at > site_at\(site\).lost_at\)/if (lost)/ @ yoketurn_tests @ -ts=sites -tc=*no sign of life*
dear-first       @ src/policy/admission.cpp @ s/mean_utility_density \/ std::max\(density, 1e-9\)/std::max(density, 1e-9) \/ mean_utility_density/ @ yoketurn_tests @ -ts=brain -tc=under strain queries are refused*
no-term          @ src/versions/service.cpp @ s/if \(order.term < last_order_.term\) return OrderVerdict::lower_term;// @ yoketurn_tests @ -ts=versions
last-of-site     @ src/audit/overseer.cpp   @ s/in_site - out_of_site <= 1/in_site - out_of_site <= 0/ @ yoketurn_fleet_tests @ -ts=audit -tc=guards: who*
share-of-fleet   @ src/audit/overseer.cpp   @ s/out_of_fleet \+ 1 > limits/out_of_fleet > limits/ @ yoketurn_fleet_tests @ -ts=audit -tc=guards: who*
across-epochs    @ src/audit/account.cpp    @ s/const auto passed =\s+std::upper_bound\(.*?restarts.begin\(\);/const auto passed = 0;/s @ yoketurn_fleet_tests @ -ts=audit -tc=forks*
one-turn         @ src/days/turns.cpp       @ s/next = router \+ 1;/next_.assign(next_.size(), router + 1);/ @ yoketurn_fleet_tests @ -ts=rig -tc=*take turns*
TABLE
}
run() { (cd "$work" && RC_PARAMS="seed=20 max_success=20" "build/$1" "$2" ${3:+"$3"} >"$4.out" 2>&1); }
built() { cmake --build "$work/build" -j"$(nproc)" --target "$1" >"$work/$2.build" 2>&1; }
built yoketurn_tests sound && built yoketurn_fleet_tests sound || { echo "does not build, see $work/sound.build"; exit 1; }
lives=0
for planted in no yes; do
  while IFS='@' read -r name file change program filter; do
    name=$(xargs <<<"$name") file=$(xargs <<<"$file") program=$(xargs <<<"$program")
    if [ $# -gt 0 ] && [[ " $* " != *" $name "* ]]; then continue; fi
    suite=$(grep -o -- '-ts=[a-z]*' <<<"$filter")
    cases=$(grep -o -- '-tc=.*' <<<"$filter" | sed 's/ *$//' || true)
    if [ $planted = no ]; then
      if ! run "$program" "$suite" "$cases" "$name"; then echo "$name: its test fails without it"; lives=1; fi
      continue
    fi
    perl -0pi -e "$change" "$work/tree/$file"
    if cmp -s "$file" "$work/tree/$file"; then echo "$name: the substitution fits nothing in $file"; lives=1
    elif ! built "$program" "$name"; then echo "$name: does not build, see $work/$name.build"; lives=1
    elif run "$program" "$suite" "$cases" "$name"; then echo "$name: LIVES"; lives=1
    else echo "$name: caught by ${cases:-$suite}"; fi
    cp "$file" "$work/tree/$file"
  done < <(table)
done
exit $lives
