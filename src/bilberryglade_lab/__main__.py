"""Command line of the lab: `python -m bilberryglade_lab`."""

from bilberryglade_lab import (
    demo_program,
    measure_control,
    measure_intents,
    measure_processor,
    measure_router,
    programs,
)
from bilberryglade_lab.experiments import program as experiment_program

REGISTERED = (
    measure_router,
    measure_control,
    demo_program,
    experiment_program,
    measure_intents,
    measure_processor,
)

if __name__ == '__main__':
    programs.main()
