"""A dispatcher for sub-second tasks: coordination parts, and thin daemons on them."""

from ragwortlug.client import Client, submit
from ragwortlug.codes import Code, Verdict
from ragwortlug.errors import RagwortlugError
from ragwortlug.model import Answer, Job, Task, TaskOutcome, new_job_id

__version__ = "0.1.0"

__all__ = [
    "Answer",
    "Client",
    "Code",
    "Job",
    "RagwortlugError",
    "Task",
    "TaskOutcome",
    "Verdict",
    "new_job_id",
    "submit",
]
