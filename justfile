# Recipes for developers; .ci/run needs none of them.

# Formatter, linter and tests.
ci:
    .ci/run

# A fleet of nine processes, measured.
measure: release
    cargo run --release -p soak --bin measure

# A short tour of three instances in one process.
quickstart:
    cargo run --release --example quickstart -- --once

release:
    cargo build --release --workspace --bins --examples

# Every slope that docs/CAPACITY.md uses; FOLDER holds the log files of two of them.
slopes FOLDER: release measure
    cargo run --release -p session --example session_slopes
    cargo run --release -p table --example table_slopes 37000
    cargo run --release -p catalog --example change_slopes
    cargo run --release -p claims --example claim_slopes 80000
    cargo run --release -p dispatch --example dispatch_slopes
    cargo run --release -p journal --example commit_rate -- {{FOLDER}}/commits
    cargo run --release -p control --example group_rate -- {{FOLDER}}/group
    cargo run --release -p protocol --example message_bytes

# A long run of processes under faults.
soak SEED SECONDS: release
    cargo run --release -p soak --bin soak -- --seed {{SEED}} --duration-s {{SECONDS}}
