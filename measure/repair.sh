#!/usr/bin/env bash
# Group downtime and stranded accelerators against two baselines, 20 seeds
set -euo pipefail
cd "$(dirname "$0")/.."
seeds=${1:-20}
for fleet in small large; do
  for weight in 0.2 0.8; do
    seq "$seeds" | xargs -P 4 -I{} build/release/measure/measure-repair \
      "$fleet" "$weight" {} | awk -v fleet="$fleet" -v weight="$weight" '
      function median (list, n,   i, j, t) {
        for (i = 2; i <= n; i++)
          for (j = i; j > 1 && list[j - 1] > list[j]; j--) {
            t = list[j]; list[j] = list[j - 1]; list[j - 1] = t
          }
        return n % 2 ? list[(n + 1) / 2] : (list[n / 2] + list[n / 2 + 1]) / 2
      }
      {
        delete v
        for (i = 1; i <= NF; i++) { split ($i, kv, "="); v[kv[1]] = kv[2] }
        if ("policy" in v) {
          p = v["policy"]; k = ++count[p]
          down[p, k] = v["down_s"]
          stranded[p, k] = v["stranded_accelerator_h"]
          weighted[p, k] = v["weighted"]
          orders[p, k] = v["orders"]; loads[p, k] = v["loads"]
          prefetches[p, k] = v["prefetches"]
          split ("unformed draining no_spare waiting fetching loading bound",
                 causes, " ")
          for (c in causes)
            cause[causes[c], p, k] = v[causes[c] "_s"]
        } else {
          tick[++ticks] = v["tick_us_median"]
          if (v["tick_us_worst"] > worst) worst = v["tick_us_worst"]
        }
      }
      function median_of (table, p,   i, list) {
        for (i = 1; i <= count[p]; i++) list[i] = table[p, i]
        return median (list, count[p])
      }
      function median_of_cause (name, p,   i, list) {
        for (i = 1; i <= count[p]; i++) list[i] = cause[name, p, i]
        return median (list, count[p])
      }
      END {
        for (p in count) {
          printf "fleet=%s stranded_weight=%s policy=%s seeds=%d " \
                 "down_s=%.0f stranded_accelerator_h=%.1f weighted=%.0f " \
                 "orders=%.0f loads=%.0f prefetches=%.0f", fleet, weight, p, count[p],
                 median_of(down, p), median_of(stranded, p), median_of(weighted, p),
                 median_of(orders, p), median_of(loads, p), median_of(prefetches, p)
          for (c = 1; c <= 7; c++)
            printf " %s_s=%.0f", causes[c], median_of_cause(causes[c], p)
          printf "\n"
        }
        printf "fleet=%s stranded_weight=%s tick_us_median=%.0f " \
               "tick_us_worst=%.0f\n", fleet, weight, median (tick, ticks),
               worst
      }'
  done
done
