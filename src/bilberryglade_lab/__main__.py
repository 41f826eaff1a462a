"""Command line of the lab: `python -m bilberryglade_lab`."""

from bilberryglade_lab import demo_program, programs
from bilberryglade_lab.experiments import program as experiment_program

REGISTERED = (demo_program, experiment_program)

if __name__ == '__main__':
    programs.main()
