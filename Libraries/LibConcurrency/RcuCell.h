#pragma once

#include <atomic>
#include <memory>
#include <urcu/urcu-memb.h>

namespace Concurrency {

/// Registers the calling thread as a reader of RcuCell objects for the lifetime of this object.
///
/// Thread safety: created and destroyed by the reading thread.
class RcuReader
{
public:
    RcuReader() { urcu_memb_register_thread(); }
    ~RcuReader() { urcu_memb_unregister_thread(); }
    RcuReader(const RcuReader &) = delete;
    RcuReader &operator=(const RcuReader &) = delete;
};

/// Holds one immutable value that many threads read without a lock while one thread replaces it.
///
/// With a lock instead, the writer blocks every request that arrives while it replaces the value,
/// and the latency peaks at each new snapshot.
template <typename Value>
class RcuCell
{
public:
    RcuCell() = default;
    RcuCell(const RcuCell &) = delete;
    RcuCell &operator=(const RcuCell &) = delete;
    /// Precondition: no thread is in read() or will call it.
    ~RcuCell() { delete current_.load(); }

    /// Replaces the value, waits until no reader can hold the old one, and destroys that.
    ///
    /// Thread safety: one thread at a time, never from within read().
    void publish(std::unique_ptr<const Value> value)
    {
        const Value *old = current_.exchange(value.release(), std::memory_order_acq_rel);
        urcu_memb_synchronize_rcu();
        delete old;
    }

    /// Calls \a use with a pointer to the value, or with nullptr before the first publish(), and
    /// returns what it returns. The pointer must not outlive the call, and \a use must not block.
    ///
    /// Precondition: the calling thread has an RcuReader. Thread safety: any such thread.
    template <typename Use>
    auto read(Use use) const
    {
        const ReadSection section;
        return use(current_.load(std::memory_order_acquire));
    }

private:
    struct ReadSection
    {
        ReadSection() { urcu_memb_read_lock(); }
        ~ReadSection() { urcu_memb_read_unlock(); }
    };

    std::atomic<const Value *> current_{nullptr};
};

} // namespace Concurrency
