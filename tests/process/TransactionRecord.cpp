#include "process/TransactionRecord.h"

namespace Auburnpost::Test {

void TransactionRecord::addViolation(std::string text)
{
    const std::lock_guard lock(m_mutex);
    m_violations.push_back(std::move(text));
}

std::vector<std::string> TransactionRecord::violations() const
{
    const std::lock_guard lock(m_mutex);
    return m_violations;
}

void TrackedTransaction::begin()
{
    if (m_isOpen)
        m_record.addViolation("a transaction began inside that of " + m_owner);
    m_isOpen = true;
    m_owner.clear();
}

void TrackedTransaction::end()
{
    m_isOpen = false;
    m_owner.clear();
}

void TrackedTransaction::run(const std::string& id)
{
    const bool isInTransaction = id.starts_with("tx-");
    const auto owner = isInTransaction ? id.substr(0, id.rfind('-')) : std::string();
    const bool isForeign = m_isOpen && (!isInTransaction || (!m_owner.empty() && m_owner != owner));
    if (isForeign)
        m_record.addViolation("statement " + id + " ran inside the transaction of " + m_owner);
    else if (isInTransaction && !m_isOpen)
        m_record.addViolation("statement " + id + " ran outside its transaction");
    if (m_isOpen && m_owner.empty())
        m_owner = owner;
}

} // namespace Auburnpost::Test
