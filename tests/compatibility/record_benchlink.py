"""Record the simulator's protocol: `python -m tests.compatibility.record_benchlink`."""

from tests.compatibility import benchlink_cases, canonical

if __name__ == "__main__":
    content = {
        "actions": benchlink_cases.action_lines(),
        "refused": [benchlink_cases.rejected_line_number(text) for text in benchlink_cases.MALFORMED],
        "settings": benchlink_cases.record_settings(),
        "sessions": [benchlink_cases.Session(seed).play(140) for seed in (1, 2, 3)],
    }
    canonical.save(benchlink_cases.FIXTURE, content)
