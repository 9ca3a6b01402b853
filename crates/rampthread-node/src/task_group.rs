//! Groups of tasks that are canceled together.

use async_std::task::JoinHandle;
use std::sync::{Mutex, MutexGuard};

/// Tasks of a node or of one of its components.
#[derive(Debug, Default)]
pub struct TaskGroup {
    tasks: Mutex<Vec<JoinHandle<()>>>,
}

impl TaskGroup {
    /// Handles of the running tasks.
    fn tasks(&self) -> MutexGuard<'_, Vec<JoinHandle<()>>> {
        self.tasks
            .lock()
            .unwrap_or_else(|broken| broken.into_inner())
    }

    /// Spawns a task that belongs to the group.
    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let handle = async_std::task::spawn(task);
        self.tasks().push(handle);
    }

    /// Cancels all tasks at once, like a crash of the process.
    pub async fn cancel(&self) {
        let tasks = std::mem::take(&mut *self.tasks());
        for task in tasks {
            task.cancel().await;
        }
    }
}
